package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.http.CallerConnectionEnd.Reason
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Responses to callers that read slowly, pipeline, or meet an unexpected exception. */
class CallerResponseTest {
    private val fixture = CallerFixture()

    /** Guards against refusals that a slow reader never gets. */
    @Test
    fun `a refusal that ends the connection is written before the output is shut down`() {
        fixture.channel.isReading = false
        fixture.send("nonsense\r\n\r\n")
        fixture.runFor(1.seconds)
        assertTrue(fixture.channel.isOpen)
        assertFalse(fixture.channel.isOutputShutdown)
        fixture.channel.isReading = true
        assertTrue(fixture.channel.isOutputShutdown)
        assertEquals(0, fixture.channel.unwrittenAtShutdown)
        assertContains(fixture.written(), "HTTP/1.1 400 ")
    }

    /** Guards against resets that destroy the end of a response. */
    @Test
    fun `a last response is written before the connection is closed in one direction`() {
        fixture.channel.isReading = false
        fixture.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        fixture.writers.single().begin(head(), 2)
        fixture.writers.single().body("ok".encodeToByteArray())
        fixture.writers.single().end()
        fixture.channel.isReading = true
        assertContains(fixture.written(), "\r\n\r\nok")
        assertTrue(fixture.channel.isOutputShutdown)
        assertTrue(fixture.channel.isOpen)
        fixture.runFor(1.seconds)
        assertFalse(fixture.channel.isOpen)
    }

    /** Guards against events of a stream that are lost with its end. */
    @Test
    fun `what was queued before an abort is written`() {
        fixture.channel.isReading = false
        fixture.send(REQUEST)
        fixture.writers.single().begin(head(), null)
        fixture.writers.single().body("id: 1\n\n".encodeToByteArray())
        fixture.writers.single().abort()
        fixture.channel.isReading = true
        val response = fixture.written()
        assertContains(response, "id: 1\n\n")
        assertFalse("\r\n0\r\n" in response)
        fixture.runFor(1.seconds)
        assertFalse(fixture.channel.isOpen)
    }

    @Test
    fun `a caller that reads nothing does not keep a connection for ever`() {
        fixture.channel.isReading = false
        fixture.send("nonsense\r\n\r\n")
        fixture.runFor(60.seconds)
        assertFalse(fixture.channel.isOpen)
    }

    /** Guards against an unexpected exception that leaves a request without an answer. */
    @Test
    fun `an unexpected exception while a request is read answers it with 500`() {
        fixture.send("GET / HTTP/1.1\r\nHost: h\r\nBroken: x\r\n\r\n")
        assertContains(fixture.written(), "HTTP/1.1 500 ")
        assertEquals(Reason.ERROR, fixture.ends.single().reason)
    }

    @Test
    fun `an unexpected exception while a request is answered answers it with 500`() {
        fixture.send(REQUEST)
        fixture.channel.pipeline().fireExceptionCaught(IllegalStateException("unexpected"))
        assertContains(fixture.written(), "HTTP/1.1 500 ")
        assertEquals(1, fixture.callersGone)
    }

    @Test
    fun `an unexpected exception within a response cuts it off`() {
        fixture.send(REQUEST)
        fixture.writers.single().begin(head(), 2)
        fixture.channel.pipeline().fireExceptionCaught(IllegalStateException("unexpected"))
        assertFalse("HTTP/1.1 500 " in fixture.written())
        fixture.runFor(1.seconds)
        assertFalse(fixture.channel.isOpen)
        assertEquals(1, fixture.callersGone)
    }

    @Test
    fun `an error of the connection ends it without an answer`() {
        fixture.send(REQUEST)
        fixture.channel.pipeline().fireExceptionCaught(IOException("reset"))
        assertEquals("", fixture.written())
        assertFalse(fixture.channel.isOpen)
        assertEquals(1, fixture.callersGone)
    }

    /** Guards against a body that the caller takes for the next response. */
    @Test
    fun `a refused HEAD request has no body`() {
        fixture.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
        fixture.writers.single().refuse(REFUSAL)
        val response = fixture.written()
        assertContains(response, "HTTP/1.1 503 ")
        assertTrue(response.endsWith("\r\n\r\n"), response)
    }

    @Test
    fun `a response without a body has no framing`() {
        for (status in listOf(204, 304)) {
            fixture.send(REQUEST)
            fixture.writers.last().begin(head(status), null)
            fixture.writers.last().end()
            val response = fixture.written().lowercase()
            assertFalse("transfer-encoding" in response, response)
            assertTrue(response.endsWith("\r\n\r\n"), response)
        }
    }

    /** Guards against a stack that grows with the number of pipelined requests. */
    @Test
    fun `many pipelined requests that are refused at once are all answered`() {
        fixture.send(REQUEST.repeat(1 + PIPELINED))
        fixture.respond = { _, writer -> writer.refuse(REFUSAL) }
        fixture.writers.single().refuse(REFUSAL)
        assertEquals(1 + PIPELINED, fixture.received.size)
        assertTrue(fixture.channel.isOpen)
    }

    /** Guards against a queue that grows without bound for a caller that reads nothing. */
    @Test
    fun `requests behind unread responses wait until the caller reads`() {
        fixture.channel.isReading = false
        fixture.respond = { _, writer ->
            writer.begin(head(), BODY.size)
            writer.body(BODY)
            writer.end()
        }
        fixture.send(REQUEST.repeat(PIPELINED))
        val served = fixture.received.size
        assertTrue(served < 10, "$served")
        assertFalse(fixture.channel.config().isAutoRead)
        fixture.channel.isReading = true
        assertEquals(PIPELINED, fixture.received.size)
        assertTrue(fixture.channel.config().isAutoRead)
    }

    /** Guards against a request that nobody knows to be lost. */
    @Test
    fun `a request behind the last response is not run and is reported`() {
        fixture.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n$REQUEST")
        fixture.writers.single().refuse(REFUSAL)
        assertContains(fixture.written().lowercase(), "connection: close")
        assertEquals(1, fixture.received.size)
        assertTrue(fixture.ends.single().dropsRequest)
    }

    @Test
    fun `a caller that expects it is told to go on with the body`() {
        val head = "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
        fixture.send("$head\r\n")
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", fixture.written())
        fixture.send("hi")
        assertEquals(1, fixture.received.size)
    }

    private companion object {
        const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        const val PIPELINED = 20_000
        val BODY = ByteArray(20_000)
        val REFUSAL = Refusal(ErrorCode.DRAINING, "")
    }
}
