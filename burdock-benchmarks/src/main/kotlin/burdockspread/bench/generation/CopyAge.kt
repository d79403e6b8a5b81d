/** Compares age thresholds for copying: resume delay after a host failure against copied bytes. */
package burdockspread.bench.generation

import burdockspread.journal.CopyPolicy
import burdockspread.recovery.RecoveryMode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Comparison of the generation ages at which copying starts. */
internal object CopyAge {
    private val AGES = listOf(0, 1, 2, 3, 5, 10).map { it.seconds }
    private const val LONG_GENERATIONS = 12

    /** Upper bound for short outputs; with 3% long ones the mean is 214 tokens per request. */
    private const val MAX_SHORT_TOKENS = 210

    /** Copies a mix of short and long generations without any host failure. */
    fun mix(policy: CopyPolicy): CopyStats {
        val random = Random(EngineModel.SEED)
        val engines = EngineModel(random)
        val stats = CopyStats()
        repeat(LONG_GENERATIONS * EngineModel.REQUESTS_PER_LONG) {
            val long = it % EngineModel.REQUESTS_PER_LONG == 0
            val length = if (long) engines.length() else random.nextInt(1, MAX_SHORT_TOKENS)
            CopyRun(length, policy, engines, stats).run()
        }
        return stats
    }

    fun policy(mode: RecoveryMode, age: Duration): CopyPolicy =
        CopyPolicy.of(mode).copy(copyAfter = age, copyAfterTokens = Int.MAX_VALUE)

    fun print() {
        println("Age from which a generation is copied: wait of long ones, bytes over all requests")
        println("policy           copied after  goes on p50  goes on p99  copied B/token")
        for (mode in listOf(RecoveryMode.SIDE_BY_SIDE, RecoveryMode.SAVE_RESOURCES)) {
            AGES.forEach { row(mode, it) }
        }
        println()
    }

    private fun row(mode: RecoveryMode, age: Duration) {
        val policy = policy(mode, age)
        val entryLoss = EntryLoss.measure(EntryRecovery.PEER_COPIES, policy)
        println(
            "%-15s %11d s %9d ms %9d ms %15.1f".format(
                mode.name.lowercase().replace('_', ' '),
                age.inWholeSeconds,
                entryLoss.pauseAt(50.0).inWholeMilliseconds,
                entryLoss.pauseAt(99.0).inWholeMilliseconds,
                mix(policy).bytesPerToken,
            ),
        )
    }
}
