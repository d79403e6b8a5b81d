/** Measures time to detection of partial failures and false alarms of healthy targets. */
package burdockspread.bench.health

import burdockspread.health.OutlierDetector
import burdockspread.health.OutlierEffect
import burdockspread.health.OutlierOptions
import burdockspread.health.OutlierReason
import burdockspread.health.TargetSample
import burdockspread.id.TargetId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Instant

/** A partial failure of one target, with the [reason] that the detector should report. */
internal enum class OutlierFault(val reason: OutlierReason) {
    HALF_SPEED(OutlierReason.SLOW),
    TWO_PERCENT_ERRORS(OutlierReason.ERRORS),
    ACCEPTS_AND_STALLS(OutlierReason.STALLS),
    COLD_CACHE(OutlierReason.LATE),
}

/** A pool of [targets] targets that each get about [requestsPerMinute] requests per minute. */
internal class OutlierTrial(
    private val targets: Int,
    private val requestsPerMinute: Double,
    private val seed: Int,
) {
    private val options = OutlierOptions()
    private val random = Random(seed)
    private val ids = List(targets) { TargetId("t$it") }
    private val detector = OutlierDetector(options)
    private var now = Instant.fromEpochSeconds(1_700_000_000)

    /** Returns the seconds until [fault] is detected, or null if that takes over 30 minutes. */
    fun detectionSeconds(fault: OutlierFault): Int? {
        repeat(WARM_UP_TICKS) { step(null) }
        repeat(MAX_DETECTION_TICKS) { tick ->
            val isDetected = step(fault).any {
                it is OutlierEffect.Detected && it.target == ids[0] && it.reason == fault.reason
            }
            if (isDetected) return ((tick + 1) * options.interval.inWholeSeconds).toInt()
        }
        return null
    }

    /** Returns the number of false alarms in one day without faults. */
    fun falseAlarms(): Int = (0 until TICKS_PER_DAY).sumOf { tick ->
        step(null, load = loadAt(tick)).count { it is OutlierEffect.Detected }
    }

    private fun step(fault: OutlierFault?, load: Double = 1.0): List<OutlierEffect> {
        now += options.interval
        val samples = ids.mapIndexed { index, id ->
            val sample = drawHealthySample(id, requestsPerMinute / TICKS_PER_MINUTE * load)
            if (index == 0 && fault != null) inject(fault, sample) else sample
        }
        return detector.onSamples(samples, now)
    }

    /** Returns the load factor at [tick], a sine over the day between 0.5 and 1. */
    private fun loadAt(tick: Int): Double {
        val angle = 2 * Math.PI * tick / TICKS_PER_DAY
        return 0.75 + 0.25 * kotlin.math.sin(angle)
    }

    private fun drawHealthySample(id: TargetId, mean: Double): TargetSample {
        val attempts = poisson(mean)
        var firstTokenMillisTotal = 0L
        var tokens = 0L
        var decodeMillis = 0L
        repeat(attempts) {
            firstTokenMillisTotal += (200 * lognormal(0.8)).toLong()
            val length = (-ln(1 - random.nextDouble()) * 120).toLong() + 1
            tokens += length
            decodeMillis += (length * 33 * lognormal(0.15)).toLong()
        }
        return TargetSample(
            target = id,
            attempts = attempts.toLong(),
            failures = List(attempts) { random.nextDouble() < 0.001 }.count { it }.toLong(),
            firstTokens = attempts.toLong(),
            firstTokenMillis = firstTokenMillisTotal,
            decodeTokens = tokens,
            decodeMillis = decodeMillis,
        )
    }

    private fun inject(fault: OutlierFault, sample: TargetSample): TargetSample = when (fault) {
        OutlierFault.HALF_SPEED -> sample.copy(decodeMillis = sample.decodeMillis * 2)
        OutlierFault.TWO_PERCENT_ERRORS ->
            sample.copy(failures = poisson(sample.attempts * 0.02).toLong())
        OutlierFault.ACCEPTS_AND_STALLS ->
            sample.copy(stalls = sample.attempts, firstTokens = 0, firstTokenMillis = 0)
        OutlierFault.COLD_CACHE -> sample.copy(firstTokenMillis = sample.firstTokenMillis * 3)
    }

    private fun poisson(mean: Double): Int {
        val limit = exp(-mean)
        var product = random.nextDouble()
        var count = 0
        while (product > limit) {
            count++
            product *= random.nextDouble()
        }
        return count
    }

    /** Returns a factor with mean 1 whose logarithm has standard deviation [sigma]. */
    private fun lognormal(sigma: Double): Double {
        val normal = (1..12).sumOf { random.nextDouble() } - 6
        return exp(sigma * normal - sigma * sigma / 2)
    }

    companion object {
        const val TICKS_PER_MINUTE = 6
        const val TICKS_PER_DAY = 8_640
        private const val WARM_UP_TICKS = 120
        private const val MAX_DETECTION_TICKS = 180
    }
}
