/** Time to detection of quiet decay, and false alarms over healthy days. */
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

/** A fault of one target. */
internal enum class DecayFault(val reason: OutlierReason) {
    HALF_SPEED(OutlierReason.SLOW),
    TWO_PERCENT_ERRORS(OutlierReason.ERRORS),
    ACCEPTS_AND_STALLS(OutlierReason.STALLS),
    COLD_CACHE(OutlierReason.LATE),
}

/** One pool of [targets] targets, each with about [perMinute] requests. */
internal class DecayTrial(
    private val targets: Int,
    private val perMinute: Double,
    private val seed: Int,
) {
    private val options = OutlierOptions()
    private val random = Random(seed)
    private val ids = List(targets) { TargetId("t$it") }
    private val detector = OutlierDetector(options)
    private var now = Instant.fromEpochSeconds(1_700_000_000)

    /** Seconds until [fault] is found, or null when it is not within half an hour. */
    fun secondsToFind(fault: DecayFault): Int? {
        repeat(TICKS_BEFORE) { step(null) }
        repeat(MAX_TICKS) { tick ->
            val found = step(fault).any {
                it is OutlierEffect.Detected && it.target == ids[0] && it.reason == fault.reason
            }
            if (found) return ((tick + 1) * options.interval.inWholeSeconds).toInt()
        }
        return null
    }

    /** False alarms in a healthy day. */
    fun falseAlarms(): Int = (0 until TICKS_PER_DAY).sumOf { tick ->
        step(null, load = dayLoad(tick)).count { it is OutlierEffect.Detected }
    }

    private fun step(fault: DecayFault?, load: Double = 1.0): List<OutlierEffect> {
        now += options.interval
        val samples = ids.mapIndexed { index, id ->
            val sample = healthy(id, perMinute / TICKS_PER_MINUTE * load)
            if (index == 0 && fault != null) apply(fault, sample) else sample
        }
        return detector.onSamples(samples, now)
    }

    /** Load over the day between a half and the whole. */
    private fun dayLoad(tick: Int): Double {
        val angle = 2 * Math.PI * tick / TICKS_PER_DAY
        return 0.75 + 0.25 * kotlin.math.sin(angle)
    }

    private fun healthy(id: TargetId, mean: Double): TargetSample {
        val attempts = poisson(mean)
        var firstMillis = 0L
        var tokens = 0L
        var decodeMillis = 0L
        repeat(attempts) {
            firstMillis += (200 * lognormal(0.8)).toLong()
            val length = (-ln(1 - random.nextDouble()) * 120).toLong() + 1
            tokens += length
            decodeMillis += (length * 33 * lognormal(0.15)).toLong()
        }
        return TargetSample(
            target = id,
            attempts = attempts.toLong(),
            failures = List(attempts) { random.nextDouble() < 0.001 }.count { it }.toLong(),
            firstTokens = attempts.toLong(),
            firstTokenMillis = firstMillis,
            decodeTokens = tokens,
            decodeMillis = decodeMillis,
        )
    }

    private fun apply(fault: DecayFault, sample: TargetSample): TargetSample = when (fault) {
        DecayFault.HALF_SPEED -> sample.copy(decodeMillis = sample.decodeMillis * 2)
        DecayFault.TWO_PERCENT_ERRORS ->
            sample.copy(failures = poisson(sample.attempts * 0.02).toLong())
        DecayFault.ACCEPTS_AND_STALLS ->
            sample.copy(stalls = sample.attempts, firstTokens = 0, firstTokenMillis = 0)
        DecayFault.COLD_CACHE -> sample.copy(firstTokenMillis = sample.firstTokenMillis * 3)
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

    /** A factor around 1 whose logarithm has the standard deviation [sigma]. */
    private fun lognormal(sigma: Double): Double {
        val normal = (1..12).sumOf { random.nextDouble() } - 6
        return exp(sigma * normal - sigma * sigma / 2)
    }

    companion object {
        const val TICKS_PER_MINUTE = 6
        const val TICKS_PER_DAY = 8_640
        private const val TICKS_BEFORE = 120
        private const val MAX_TICKS = 180
    }
}
