package burdockspread.net

import burdockspread.net.TransferDeadline.Companion.PROGRESS_BYTES
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class TransferDeadlineTest {
    private val timeout = 600.milliseconds

    // Guards against a transfer that is cut for its size alone and never completes.
    @Test
    fun `a response of any size that goes on is not given up`() {
        val deadline = TransferDeadline(timeout, timeout)
        for (step in 1..1_000) {
            val elapsed = 500.milliseconds * step
            assertTrue(elapsed < deadline.dueAt, "given up after $elapsed")
            deadline.onReceived(step * PROGRESS_BYTES, elapsed)
        }
    }

    // Guards against a store that keeps a call busy for ever with a few bytes.
    @Test
    fun `bytes that trickle in are no progress`() {
        val deadline = TransferDeadline(timeout, timeout)
        for (step in 1..60) {
            deadline.onReceived(step * PROGRESS_BYTES / 60 - 1, 10.milliseconds * step)
        }
        assertEquals(timeout, deadline.dueAt)
    }

    // Guards against a stall that is noticed later the longer the transfer has taken.
    @Test
    fun `a stall is noticed a fixed time after the last progress`() {
        val deadline = TransferDeadline(timeout, timeout)
        deadline.onReceived(5 * PROGRESS_BYTES, 590.milliseconds)
        deadline.onReceived(6 * PROGRESS_BYTES - 1, 1_100.milliseconds)
        assertEquals(590.milliseconds + timeout, deadline.dueAt)
    }

    // Guards against a long poll whose response is cut although it came in time.
    @Test
    fun `progress never shortens the time of a call that waits`() {
        val deadline = TransferDeadline(2_600.milliseconds, timeout)
        deadline.onReceived(PROGRESS_BYTES, Duration.ZERO)
        assertEquals(2_600.milliseconds, deadline.dueAt)
        deadline.onReceived(2 * PROGRESS_BYTES, 2_500.milliseconds)
        assertEquals(3_100.milliseconds, deadline.dueAt)
    }
}
