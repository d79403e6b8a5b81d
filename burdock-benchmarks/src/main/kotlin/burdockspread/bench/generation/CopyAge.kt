/** Compares ages from which a generation is copied: the wait after a loss against the bytes. */
package burdockspread.bench.generation

import burdockspread.journal.CopyPolicy
import burdockspread.recovery.RecoveryMode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The comparison of ages from which copying begins. */
internal object CopyAge {
    private val AGES = listOf(0, 1, 2, 3, 5, 10).map { it.seconds }
    private const val LONG_IN_MIX = 12

    /** Longest of the short answers: with 3% long ones, 214 tokens for a request on average. */
    private const val SHORT_TOKENS = 210

    /** Copies a mix of short and long generations that no host loss disturbs. */
    fun mix(policy: CopyPolicy): CopyFigures {
        val random = Random(EngineModel.SEED)
        val engines = EngineModel(random)
        val figures = CopyFigures()
        repeat(LONG_IN_MIX * EngineModel.GENERATIONS_PER_LONG) {
            val long = it % EngineModel.GENERATIONS_PER_LONG == 0
            val length = if (long) engines.length() else random.nextInt(1, SHORT_TOKENS)
            CopyRun(length, policy, engines, figures).run()
        }
        return figures
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
        val lost = EntryLoss.measure(EntryLossWay.PEER_COPIES, policy)
        println(
            "%-15s %11d s %9d ms %9d ms %15.1f".format(
                mode.name.lowercase().replace('_', ' '),
                age.inWholeSeconds,
                lost.waitAt(50.0).inWholeMilliseconds,
                lost.waitAt(99.0).inWholeMilliseconds,
                mix(policy).bytesPerToken,
            ),
        )
    }
}
