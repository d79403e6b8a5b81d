package burdockspread.health

import burdockspread.id.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

class OutlierDetectorTest {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val options = OutlierOptions()
    private val bad = TargetId("t0")

    @Test
    fun `a target at half speed is found within five minutes`() =
        assertFound(OutlierReason.SLOW) { it.copy(decodeMillis = it.decodeMillis * 2) }

    @Test
    fun `a target that errs at two percent is found within five minutes`() =
        assertFound(OutlierReason.ERRORS) { it.copy(failures = it.failures + errors.nextBit(0.9)) }

    @Test
    fun `a target that accepts and stalls is found within one minute`() =
        assertFound(OutlierReason.STALLS, 1.minutes) { it.copy(stalls = it.attempts / 2) }

    @Test
    fun `a target with a cold cache is found within five minutes`() =
        assertFound(OutlierReason.LATE) { it.copy(firstTokenMillis = it.firstTokenMillis * 3) }

    @Test
    fun `the weight falls in steps to probation and rises again after recovery`() {
        val detector = OutlierDetector(options)
        val weights = run(detector, 10.minutes) { it.copy(decodeMillis = it.decodeMillis * 3) }
        assertTrue(weights.first() >= options.cutStep && weights.size > 5, "$weights")
        assertTrue(detector.degraded().single().probation)
        run(detector, 60.minutes) { it }
        assertEquals(emptyList(), detector.degraded().toList())
    }

    @Test
    fun `no more than the stated part of the pool's weight is cut`() {
        val detector = OutlierDetector(options)
        val random = Random(5)
        var now = start
        repeat(120) {
            now += options.interval
            val samples = List(20) { index ->
                val sample = healthy(TargetId("t$index"), random)
                if (index < 9) sample.copy(decodeMillis = sample.decodeMillis * 4) else sample
            }
            detector.onSamples(samples, now)
        }
        val cut = detector.degraded().sumOf { 1 - it.weight }
        assertTrue(cut > 0 && cut <= options.maxCut * 20 + 1 - options.cutStep, "$cut")
    }

    @Test
    fun `a pool that slows down as a whole cuts nobody`() {
        val detector = OutlierDetector(options)
        val random = Random(6)
        var now = start
        repeat(360) { tick ->
            now += options.interval
            val slow = if (tick > 100) 3 else 1
            detector.onSamples(
                List(20) {
                    val sample = healthy(TargetId("t$it"), random)
                    sample.copy(decodeMillis = sample.decodeMillis * slow)
                },
                now,
            )
        }
        assertEquals(emptyList(), detector.degraded().toList())
    }

    private val errors = object {
        private val random = Random(11)

        fun nextBit(probability: Double): Long = if (random.nextDouble() < probability) 1 else 0
    }

    private fun assertFound(
        reason: OutlierReason,
        within: Duration = 5.minutes,
        fault: (TargetSample) -> TargetSample,
    ) {
        val detector = OutlierDetector(options)
        run(detector, 10.minutes) { it }
        assertEquals(emptyList(), detector.degraded().toList())
        run(detector, within, fault)
        val cut = assertNotNull(detector.degraded().singleOrNull(), "not found")
        assertEquals(bad, cut.target)
        assertEquals(reason, cut.reason)
    }

    private fun run(
        detector: OutlierDetector,
        time: Duration,
        fault: (TargetSample) -> TargetSample,
    ): List<Double> {
        val random = Random(3)
        val weights = ArrayList<Double>()
        val ticks = (time / options.interval).toInt()
        repeat(ticks) { tick ->
            val samples = List(20) { healthy(TargetId("t$it"), random) }
            val shown = samples.map { if (it.target == bad) fault(it) else it }
            val effects = detector.onSamples(shown, start + options.interval * tick)
            weights += effects.filterIsInstance<OutlierEffect.SetWeight>().map { it.weight }
        }
        return weights
    }

    /** Ten seconds of a healthy target: about 45 requests, one error in a thousand. */
    private fun healthy(target: TargetId, random: Random): TargetSample {
        val attempts = random.nextLong(35, 56)
        return TargetSample(
            target = target,
            attempts = attempts,
            failures = if (random.nextInt(1_000) < attempts) 1 else 0,
            firstTokens = attempts,
            firstTokenMillis = attempts * random.nextLong(150, 250),
            decodeTokens = attempts * 200,
            decodeMillis = attempts * 200 * random.nextLong(30, 40),
        )
    }
}
