package burdockspread.forward.log

import burdockspread.forward.Fixture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LogRateLimiterTest {
    private val now = Fixture.START
    private val limiter = LogRateLimiter(linesPerSecond = 10.0, burst = 20.0)

    @Test
    fun `a flood of one event is rate limited without affecting other events`() {
        val written = (1..100_000).count {
            limiter.tryAcquire(
                "responded",
                now + (it / 10).milliseconds,
            )
        }
        assertTrue(written in 20..121, "$written lines in ten seconds")
        assertTrue(limiter.tryAcquire("attempt_failed", now + 10.seconds))
    }

    @Test
    fun `suppressed lines are reported once`() {
        repeat(50) { limiter.tryAcquire("responded", now) }
        assertEquals(mapOf("responded" to 30), limiter.takeSuppressed(now))
        assertEquals(emptyMap(), limiter.takeSuppressed(now + 5.seconds))
    }

    @Test
    fun `reports come at most once a second`() {
        repeat(21) { limiter.tryAcquire("responded", now) }
        limiter.takeSuppressed(now)
        limiter.tryAcquire("responded", now)
        assertEquals(emptyMap(), limiter.takeSuppressed(now + 500.milliseconds))
        assertEquals(mapOf("responded" to 1), limiter.takeSuppressed(now + 1.seconds))
    }
}
