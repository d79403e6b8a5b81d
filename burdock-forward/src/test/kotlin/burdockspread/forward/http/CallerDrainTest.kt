package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.http.CallerConnectionEnd.Reason
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers' connections while the host drains. */
class CallerDrainTest {
    private val fixture = CallerFixture()

    /** Guards against callers that reuse a connection which the host is about to close. */
    @Test
    fun `a response that begins after SIGTERM says that the connection ends`() {
        fixture.send(REQUEST)
        fixture.drains = true
        fixture.writers.single().begin(head(), 2)
        fixture.writers.single().body("ok".encodeToByteArray())
        fixture.writers.single().end()
        assertContains(fixture.written().lowercase(), "connection: close")
        assertEquals(Reason.RESPONSE_COMPLETE, fixture.ends.single().reason)
    }

    /** Guards against requests lost because the kernel held them when the sweep ran. */
    @Test
    fun `a request that had arrived when a draining connection was found idle is answered`() {
        useOnce()
        fixture.drains = true
        fixture.connection.closeExpired(fixture.now)
        fixture.send(REQUEST)
        fixture.runFor(100.milliseconds)
        fixture.writers.last().refuse(REFUSAL)
        assertContains(fixture.written().lowercase(), "connection: close")
    }

    /** Guards against resets of requests that cross the close. */
    @Test
    fun `an idle connection is closed in one direction first`() {
        useOnce()
        fixture.drains = true
        fixture.sweepAfter(500.milliseconds)
        assertTrue(fixture.channel.isOutputShutdown)
        assertTrue(fixture.channel.isOpen)
        assertEquals(Reason.DRAINING, fixture.ends.single().reason)
        fixture.runFor(1.seconds)
        assertFalse(fixture.channel.isOpen)
    }

    /** Guards against requests lost on connections that were opened during the drain. */
    @Test
    fun `a connection whose first request is under way stays open`() {
        fixture.drains = true
        fixture.sweepAfter(500.milliseconds)
        fixture.send(REQUEST)
        assertEquals(1, fixture.received.size)
    }

    /** Guards against requests lost because they had arrived in part. */
    @Test
    fun `a request that arrives in part during the drain is answered`() {
        useOnce()
        fixture.drains = true
        fixture.send("GET / HTT")
        fixture.sweepAfter(500.milliseconds)
        fixture.send("P/1.1\r\nHost: h\r\n\r\n")
        assertEquals(2, fixture.received.size)
    }

    @Test
    fun `an idle connection is closed when the host exits`() {
        fixture.connection.closeGracefully(fixture.now)
        assertFalse(fixture.channel.isOutputShutdown)
        fixture.runFor(100.milliseconds)
        assertTrue(fixture.channel.isOutputShutdown)
        assertEquals(Reason.STOPPED, fixture.ends.single().reason)
    }

    /** Guards against requests lost because the kernel held them when the host exits. */
    @Test
    fun `a request that had arrived when the host exits is answered`() {
        fixture.connection.closeGracefully(fixture.now)
        fixture.send(REQUEST)
        fixture.runFor(100.milliseconds)
        fixture.writers.last().refuse(REFUSAL)
        assertContains(fixture.written().lowercase(), "connection: close")
        assertTrue(fixture.channel.isOutputShutdown)
    }

    /** Guards against requests lost because they had arrived in part when the host exits. */
    @Test
    fun `a request that has arrived in part when the host exits is refused`() {
        fixture.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha")
        fixture.connection.closeGracefully(fixture.now)
        fixture.runFor(100.milliseconds)
        assertContains(fixture.written(), "HTTP/1.1 503 ")
        assertTrue(fixture.channel.isOutputShutdown)
    }

    /** Guards against connections that stay open after a response that told nothing of the end. */
    @Test
    fun `a connection ends after the response in progress when the host exits`() {
        fixture.send(REQUEST)
        fixture.writers.single().begin(head(), 2)
        fixture.connection.closeGracefully(fixture.now)
        fixture.runFor(100.milliseconds)
        assertFalse(fixture.channel.isOutputShutdown)
        fixture.writers.single().body("ok".encodeToByteArray())
        fixture.writers.single().end()
        fixture.runFor(100.milliseconds)
        assertTrue(fixture.channel.isOutputShutdown)
    }

    private fun useOnce() {
        fixture.send(REQUEST)
        fixture.writers.single().refuse(REFUSAL)
        fixture.written()
    }

    private companion object {
        const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        val REFUSAL = Refusal(ErrorCode.DRAINING, "")
    }
}
