/** Compares copy intervals: copied bytes per token against the release delay of a token. */
package burdockspread.bench.generation

import burdockspread.journal.CopyPolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Comparison of the intervals between two batches to a holder. */
internal object CopyInterval {
    private const val GENERATIONS = 20
    private val INTERVALS = listOf(0, 25, 50, 100, 250, 1_000).map { it.milliseconds }

    fun measure(interval: Duration): CopyStats {
        val engines = EngineModel(Random(EngineModel.SEED))
        val stats = CopyStats()
        repeat(GENERATIONS) {
            CopyRun(engines.length(), CopyPolicy(interval = interval), engines, stats).run()
        }
        return stats
    }

    fun print() {
        println("Copy interval: $GENERATIONS long generations, one holder")
        println("interval    copied B/token  tokens/batch  release p50  release p95  release p99")
        INTERVALS.forEach { interval ->
            val stats = measure(interval)
            println(
                "%6d ms %16.1f %13.2f %9.1f ms %9.1f ms %9.1f ms".format(
                    interval.inWholeMilliseconds,
                    stats.bytesPerToken,
                    stats.tokens.toDouble() / stats.batches,
                    stats.delayAt(50.0).millis(),
                    stats.delayAt(95.0).millis(),
                    stats.delayAt(99.0).millis(),
                ),
            )
        }
        println()
    }

    private fun Duration.millis() = inWholeMicroseconds / 1_000.0
}
