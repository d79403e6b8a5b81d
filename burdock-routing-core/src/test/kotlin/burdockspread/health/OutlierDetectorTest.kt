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
    private val faultyTarget = TargetId("t0")

    @Test
    fun `target at half speed is detected within five minutes`() =
        assertDetected(OutlierReason.SLOW) { it.copy(decodeMillis = it.decodeMillis * 2) }

    @Test
    fun `target with an error rate of two percent is detected within five minutes`() =
        assertDetected(OutlierReason.ERRORS) {
            it.copy(failures = it.failures + errors.nextBit(0.9))
        }

    @Test
    fun `target that accepts requests and stalls is detected within one minute`() =
        assertDetected(OutlierReason.STALLS, 1.minutes) { it.copy(stalls = it.attempts / 2) }

    @Test
    fun `target with a cold cache is detected within five minutes`() =
        assertDetected(OutlierReason.LATE) { it.copy(firstTokenMillis = it.firstTokenMillis * 3) }

    @Test
    fun `weight falls stepwise to probation and rises again after recovery`() {
        val detector = OutlierDetector(options)
        val weights = run(detector, 10.minutes) { it.copy(decodeMillis = it.decodeMillis * 3) }
        assertTrue(weights.first() >= options.reductionFactor && weights.size > 5, "$weights")
        assertTrue(detector.degraded().single().probation)
        run(detector, 60.minutes) { it }
        assertEquals(emptyList(), detector.degraded().toList())
    }

    @Test
    fun `weight reduction of a pool is bounded`() {
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
        val reduction = detector.degraded().sumOf { 1 - it.weight }
        assertTrue(
            reduction > 0 && reduction <= options.maxReduction * 20 + 1 - options.reductionFactor,
            "$reduction",
        )
    }

    @Test
    fun `no weight is reduced when the whole pool slows down`() {
        val detector = OutlierDetector(options)
        val random = Random(6)
        var now = start
        repeat(360) { tick ->
            now += options.interval
            val slowdown = if (tick > 100) 3 else 1
            detector.onSamples(
                List(20) {
                    val sample = healthy(TargetId("t$it"), random)
                    sample.copy(decodeMillis = sample.decodeMillis * slowdown)
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

    private fun assertDetected(
        reason: OutlierReason,
        within: Duration = 5.minutes,
        fault: (TargetSample) -> TargetSample,
    ) {
        val detector = OutlierDetector(options)
        run(detector, 10.minutes) { it }
        assertEquals(emptyList(), detector.degraded().toList())
        run(detector, within, fault)
        val degraded = assertNotNull(detector.degraded().singleOrNull(), "not detected")
        assertEquals(faultyTarget, degraded.target)
        assertEquals(reason, degraded.reason)
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
            val faultySamples = samples.map { if (it.target == faultyTarget) fault(it) else it }
            val effects = detector.onSamples(faultySamples, start + options.interval * tick)
            weights += effects.filterIsInstance<OutlierEffect.SetWeight>().map { it.weight }
        }
        return weights
    }

    /** Returns ten seconds of a healthy target: about 45 requests, one error in a thousand. */
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
