/** The baseline: a generation whose engine failed starts again from nothing. */
package burdockspread.bench.generation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One generation that is run again from nothing after each loss, with one constant timeout. */
internal class NaiveRun(
    private val length: Int,
    private val deathsPerHour: Double,
    private val engines: EngineModel,
    private val figures: EngineStats,
) {
    private var delivered = 0
    private var waited: Duration? = null

    /** Runs until the answer is whole or [MAX_ATTEMPTS] are spent. */
    fun run() {
        var attempts = 0
        while (delivered < length && attempts < MAX_ATTEMPTS) {
            if (attempts++ > 0) figures.extraAttempts++
            attempt(again = attempts > 1)
        }
        figures.generations++
        if (delivered == length) figures.completed++
    }

    private fun attempt(again: Boolean) {
        val lifetime = engines.lifetime(deathsPerHour)
        val uncached = engines.uncached(0, preferCached = false)
        if (again) figures.readAgain += uncached
        var age = engines.prefill(uncached, preferCached = false)
        var offset = 0
        while (offset < length) {
            if (age >= lifetime) return lost(age)
            if (offset++ < delivered) figures.generatedTwice++ else deliver(age)
            age += engines.gap()
        }
    }

    private fun deliver(age: Duration) {
        delivered++
        figures.delivered++
        waited?.let { figures.resumed(it + age) }
        waited = null
    }

    private fun lost(age: Duration) {
        figures.losses++
        val detection =
            if (engines.fault() == EngineFault.FREEZES) CONSTANT_TIMEOUT else Duration.ZERO
        val before = waited
        waited = detection + if (before == null) Duration.ZERO else before + age
    }

    private companion object {
        const val MAX_ATTEMPTS = 64
        val CONSTANT_TIMEOUT = 10.seconds
    }
}
