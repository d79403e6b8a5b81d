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
    fun `each target has its own usual time`() {
        val times = TokenLatencyTracker()
        repeat(100) {
            times.recordInterTokenLatency(slow, MODEL, 40.milliseconds)
            times.recordInterTokenLatency(fast, MODEL, 20.milliseconds)
        }
        val ofSlow = assertNotNull(times.expectedInterTokenLatency(slow, MODEL))
        val ofFast = assertNotNull(times.expectedInterTokenLatency(fast, MODEL))
        assertTrue(ofSlow in 40.milliseconds..50.milliseconds, "$ofSlow")
        assertTrue(ofFast in 20.milliseconds..25.milliseconds, "$ofFast")
        assertNull(times.expectedTimeToFirstToken(fast, MODEL))
    }

    @Test
    fun `one freeze hardly raises the usual time`() {
        val times = TokenLatencyTracker()
        repeat(100) { times.recordInterTokenLatency(fast, MODEL, 20.milliseconds) }
        times.recordInterTokenLatency(fast, MODEL, 30.seconds)
        assertTrue(times.expectedInterTokenLatency(fast, MODEL)!! < 35.milliseconds)
    }

    @Test
    fun `the number of pairs is bounded and gone targets are forgotten`() {
        val times = TokenLatencyTracker(maxPairs = 1)
        repeat(50) { times.recordInterTokenLatency(fast, MODEL, 20.milliseconds) }
        times.recordInterTokenLatency(slow, MODEL, 60.milliseconds)
        assertEquals(
            times.expectedInterTokenLatency(null, MODEL),
            times.expectedInterTokenLatency(slow, MODEL),
        )
        times.retain(setOf(slow))
        times.recordInterTokenLatency(slow, MODEL, 20.milliseconds)
        assertTrue(
            times.expectedInterTokenLatency(slow, MODEL) !=
                times.expectedInterTokenLatency(null, MODEL),
        )
    }

    @Test
    fun `concurrent records are all counted`() = ModelCheckingOptions().threads(
        2,
    ).iterations(2).invocationsPerIteration(50).check(Race::class)

    class Race {
        private val estimate = TimeEstimate(window = 32)

        @Operation
        fun record(millis: Int) = estimate.record((millis * 7 + 40).milliseconds)

        @Operation
        fun usual() = estimate.usual()?.inWholeMicroseconds
    }
}
