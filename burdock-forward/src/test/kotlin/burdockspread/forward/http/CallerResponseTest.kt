package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Responses to callers that read slowly or pipeline. */
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
        val REFUSAL = Refusal(ErrorCode.DRAINING, "")
    }
}
