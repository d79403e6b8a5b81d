package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.http.CallerConnectionEnd.Reason
import burdockspread.forward.http.CallerConnectionEnd.State
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is reported of the ends of callers' connections. */
class CallerConnectionEndTest {
    private val fixture = CallerFixture()
    private val end get() = fixture.ends.single()

    @Test
    fun `an idle connection reports its idle time and its limit`() {
        fixture.sweepAfter(17.seconds)
        assertEquals(Reason.IDLE, end.reason)
        assertEquals(State.IDLE, end.state)
        assertEquals(17_100.milliseconds, end.idle)
        assertEquals(15.seconds, end.limit)
        assertFalse(end.dropsRequest)
    }

    @Test
    fun `a request that has arrived in part is reported with its size`() {
        fixture.send("GET / HTTP/1.1\r\n")
        fixture.channel.close()
        assertEquals(Reason.CALLER_CLOSED, end.reason)
        assertEquals(State.HEAD, end.state)
        assertEquals(16, end.unfinishedBytes)
        assertTrue(end.dropsRequest)
    }

    @Test
    fun `a body that has arrived in part is reported with the request's id`() {
        fixture.send("POST / HTTP/1.1\r\nHost: h\r\nId: a1\r\nContent-Length: 9\r\n\r\nhalf")
        fixture.channel.close()
        assertEquals(State.BODY, end.state)
        assertEquals("a1", end.requestId)
        assertTrue(end.dropsRequest)
    }

    @Test
    fun `line breaks between requests are not a request`() {
        fixture.send("\r\n\r\n")
        fixture.channel.close()
        assertEquals(State.IDLE, end.state)
        assertEquals(0, end.unfinishedBytes)
    }

    @Test
    fun `requests behind the current one are counted and the current one is named`() {
        fixture.send(request("a1") + request("a2"))
        fixture.channel.close()
        assertEquals(State.RESPONDING, end.state)
        assertEquals("a1", end.requestId)
        assertEquals(2, end.pipelinedMessages)
        assertTrue(end.dropsRequest)
    }

    @Test
    fun `an exception is reported as the cause`() {
        fixture.channel.pipeline().fireExceptionCaught(IOException("reset"))
        assertEquals(Reason.ERROR, end.reason)
        assertEquals("reset", end.cause?.message)
    }

    @Test
    fun `a refusal that ends the connection answers what was not read`() {
        fixture.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\nhalf")
        assertEquals(Reason.REFUSED, end.reason)
        assertEquals(1, end.answered)
        assertFalse(end.dropsRequest)
    }

    @Test
    fun `a request that arrives after the end was decided is named`() {
        fixture.drains = true
        fixture.send(request("a1"))
        fixture.writers.single().refuse(Refusal(ErrorCode.DRAINING, ""))
        fixture.send(request("a2"))
        assertEquals(listOf<String?>("a2"), fixture.dropped)
    }

    private fun request(id: String) = "GET / HTTP/1.1\r\nHost: h\r\nId: $id\r\n\r\n"
}
