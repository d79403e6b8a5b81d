package burdockspread.generation

import burdockspread.id.TargetId
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenLatencyTrackerTest {
    private val slow = TargetId("slow")
    private val fast = TargetId("fast")

    @Test
    fun `each target has its own expected latency`() {
        val tracker = TokenLatencyTracker()
        repeat(100) {
            tracker.recordInterTokenLatency(slow, MODEL, 40.milliseconds)
            tracker.recordInterTokenLatency(fast, MODEL, 20.milliseconds)
        }
        val slowLatency = assertNotNull(tracker.expectedInterTokenLatency(slow, MODEL))
        val fastLatency = assertNotNull(tracker.expectedInterTokenLatency(fast, MODEL))
        assertTrue(slowLatency in 40.milliseconds..50.milliseconds, "$slowLatency")
        assertTrue(fastLatency in 20.milliseconds..25.milliseconds, "$fastLatency")
        assertNull(tracker.expectedTimeToFirstToken(fast, MODEL))
    }

    @Test
    fun `a single stall hardly raises the expected latency`() {
        val tracker = TokenLatencyTracker()
        repeat(100) { tracker.recordInterTokenLatency(fast, MODEL, 20.milliseconds) }
        tracker.recordInterTokenLatency(fast, MODEL, 30.seconds)
        assertTrue(tracker.expectedInterTokenLatency(fast, MODEL)!! < 35.milliseconds)
    }

    @Test
    fun `the number of pairs is bounded and removed targets are dropped`() {
        val tracker = TokenLatencyTracker(maxPairs = 1)
        repeat(50) { tracker.recordInterTokenLatency(fast, MODEL, 20.milliseconds) }
        tracker.recordInterTokenLatency(slow, MODEL, 60.milliseconds)
        assertEquals(
            tracker.expectedInterTokenLatency(null, MODEL),
            tracker.expectedInterTokenLatency(slow, MODEL),
        )
        tracker.retain(setOf(slow))
        tracker.recordInterTokenLatency(slow, MODEL, 20.milliseconds)
        assertTrue(
            tracker.expectedInterTokenLatency(slow, MODEL) !=
                tracker.expectedInterTokenLatency(null, MODEL),
        )
    }

    @Test
    fun `concurrent records are all counted`() = ModelCheckingOptions().threads(
        2,
    ).iterations(2).invocationsPerIteration(50).check(Race::class)

    class Race {
        private val estimate = LatencyEstimate(window = 32)

        @Operation
        fun record(millis: Int) = estimate.record((millis * 7 + 40).milliseconds)

        @Operation
        fun expected() = estimate.expected()?.inWholeMicroseconds
    }
}
