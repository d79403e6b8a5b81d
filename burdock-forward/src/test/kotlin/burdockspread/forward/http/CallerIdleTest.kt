package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long callers' connections stay open without a request. */
class CallerIdleTest {
    private val fixture = CallerFixture()

    /** Guards against requests lost on connections whose callers know the older limit. */
    @Test
    fun `a shorter limit does not end a connection that became idle under a longer one`() {
        fixture.sweepAfter(5.seconds)
        fixture.limits = fixture.limits.copy(idleTimeout = 2.seconds)
        fixture.sweepAfter(1.seconds)
        assertTrue(fixture.isOpen)
        fixture.sweepAfter(8.seconds)
        assertTrue(fixture.isOpen)
        fixture.sweepAfter(3.seconds)
        assertFalse(fixture.isOpen)
    }

    @Test
    fun `a shorter limit applies from the next idle time on`() {
        fixture.limits = fixture.limits.copy(idleTimeout = 2.seconds)
        answer()
        fixture.sweepAfter(4.seconds)
        assertFalse(fixture.isOpen)
    }

    @Test
    fun `a longer limit applies to a connection that is idle already`() {
        fixture.sweepAfter(14.seconds)
        fixture.limits = fixture.limits.copy(idleTimeout = 30.seconds)
        fixture.sweepAfter(3.seconds)
        fixture.limits = fixture.limits.copy(idleTimeout = 2.seconds)
        fixture.sweepAfter(12.seconds)
        assertTrue(fixture.isOpen)
        fixture.sweepAfter(3.seconds)
        assertFalse(fixture.isOpen)
    }

    /** Guards against callers that are never told a limit that changed. */
    @Test
    fun `a response tells the limit in whole seconds`() {
        fixture.limits = fixture.limits.copy(idleTimeout = 2_900.milliseconds)
        assertContains(answer(), "\r\nkeep-alive: timeout=2\r\n")
        fixture.limits = fixture.limits.copy(idleTimeout = 900.milliseconds)
        assertFalse("keep-alive" in answer())
    }

    @Test
    fun `the last response before the end tells no limit`() {
        fixture.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        fixture.writers.last().refuse(REFUSAL)
        val response = fixture.written().lowercase()
        assertContains(response, "connection: close")
        assertFalse("keep-alive" in response)
    }

    /** Guards against a limit that shrinks between a response's head and its end. */
    @Test
    fun `a limit that a response told holds after a change during the response`() {
        fixture.send(REQUEST)
        fixture.writers.last().begin(head(), 2)
        fixture.limits = fixture.limits.copy(idleTimeout = 2.seconds)
        fixture.writers.last().body("ok".encodeToByteArray())
        fixture.writers.last().end()
        fixture.sweepAfter(14.seconds)
        assertTrue(fixture.isOpen)
    }

    /** Guards against connections closed while a request arrives on them. */
    @Test
    fun `a head that has arrived in part is a request in progress`() {
        fixture.limits = fixture.limits.copy(idleTimeout = 1.seconds)
        fixture.send("GET / HTTP/1.1\r\nHo")
        fixture.sweepAfter(1.seconds)
        fixture.sweepAfter(2.seconds)
        fixture.send("st: h\r\n\r\n")
        assertEquals(1, fixture.received.size)
    }

    /** Guards against senders that keep a connection with a head that never ends. */
    @Test
    fun `a head that does not arrive in time is refused with 408`() {
        fixture.send("GET / HTTP/1.1\r\nHo")
        fixture.sweepAfter(1.seconds)
        fixture.sweepAfter(4.seconds)
        assertContains(fixture.written(), "HTTP/1.1 408 ")
        assertFalse(fixture.isOpen)
        assertEquals(CallerConnectionEnd.Reason.REQUEST_TIMEOUT, fixture.ends.single().reason)
    }

    /** Guards against requests lost because the kernel held them when the sweep ran. */
    @Test
    fun `a request that had arrived when the connection was found idle is served`() {
        fixture.now += 20.seconds
        fixture.connection.closeExpired(fixture.now)
        fixture.send(REQUEST)
        fixture.runFor(100.milliseconds)
        assertEquals(1, fixture.received.size)
        fixture.writers.last().refuse(REFUSAL)
        assertContains(fixture.written(), "HTTP/1.1 503 ")
    }

    /** Guards against requests lost because the loop stood still while they arrived. */
    @Test
    fun `a body that had arrived when it was found late is read`() {
        fixture.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha")
        fixture.now += 20.seconds
        fixture.connection.closeExpired(fixture.now)
        fixture.send("lf")
        fixture.runFor(100.milliseconds)
        assertEquals("half", String(fixture.received.single().body))
    }

    /** Guards against a reset that destroys what the caller has not read. */
    @Test
    fun `an idle connection is closed in one direction first`() {
        fixture.sweepAfter(20.seconds)
        assertTrue(fixture.channel.isOutputShutdown)
        assertTrue(fixture.channel.isOpen)
        fixture.send(REQUEST)
        assertEquals(0, fixture.received.size)
        assertEquals(1, fixture.dropped.size)
        fixture.runFor(1.seconds)
        assertFalse(fixture.channel.isOpen)
    }

    private fun answer(): String {
        fixture.send(REQUEST)
        fixture.writers.last().refuse(REFUSAL)
        return fixture.written().lowercase()
    }

    private companion object {
        const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        val REFUSAL = Refusal(ErrorCode.DRAINING, "")
    }
}
