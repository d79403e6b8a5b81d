/** Memory of an open generation by its length, and CPU time per token. */
package burdockspread.bench.generation

import burdockspread.generation.AttemptBudget
import burdockspread.generation.Generation
import burdockspread.generation.GenerationInput
import burdockspread.generation.TokenLatencyTracker
import burdockspread.generation.TokenLog
import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import burdockspread.journal.AppendOutcome
import burdockspread.journal.CopyPolicy
import burdockspread.journal.JournalEffect
import burdockspread.journal.JournalInput
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Instant

/** Memory and CPU costs for the capacity page. */
internal object GenerationCosts {
    private val LENGTHS = listOf(0, 100, 1_000, 4_000, 10_000)
    private const val CPU_TOKENS = 400_000
    private const val CPU_ROUNDS = 3
    private val TOKEN = persistentListOf("tok ")

    /** Returns the bytes of a peer's copy at [length] tokens of four bytes; see [logBytes]. */
    fun copyBytes(length: Int): Long {
        val policy = CopyPolicy(copyAfterTokens = 0)
        val run = CopyRun(length, policy, EngineModel(Random(1)), CopyStats())
        run.run()
        return run.copies.bytes
    }

    fun logBytes(length: Int): Long {
        val log = TokenLog()
        repeat(length) { log.append(TOKEN) }
        return log.memoryBytes
    }

    fun print() {
        println("Memory of one open generation")
        println("tokens    owner's log B    copy on a peer B (prompt of ${CopyRun.BODY.length} B)")
        LENGTHS.forEach {
            println("%6d %16d %16d".format(it, logBytes(it), if (it > 0) copyBytes(it) else 0))
        }
        println()
        println("Processor time of one token through the core (this machine, last of $CPU_ROUNDS)")
        repeat(CPU_ROUNDS - 1) { uncopiedNanos() + copiedNanos() }
        println("accepted and released:              %6d ns".format(uncopiedNanos()))
        println("copied, acknowledged and released:  %6d ns".format(copiedNanos()))
    }

    private fun uncopiedNanos(): Long = perToken(CPU_TOKENS) { generation, now ->
        accept(generation, now)
    }

    private fun copiedNanos(): Long {
        val run = CopyRun(0, CopyPolicy(), EngineModel(Random(1)), CopyStats())
        run.journal.handle(
            JournalInput.HoldersChanged(persistentListOf(CopyRun.HOLDER)),
            CopyRun.START,
        )
        return perToken(CPU_TOKENS) { generation, now ->
            accept(generation, now)
            run.log.append(TOKEN)
            copy(run, run.journal.handle(JournalInput.TokensAppended, now), now)
        }
    }

    private fun copy(run: CopyRun, effects: List<JournalEffect>, now: Instant) {
        effects.filterIsInstance<JournalEffect.Send>().forEach {
            val outcome: AppendOutcome = run.copies.append(it.batch, now)
            run.journal.handle(JournalInput.HolderAnswered(it.holder, outcome), now)
        }
    }

    private fun accept(generation: Generation, now: Instant) {
        val offset = generation.tokens.size
        generation.handle(GenerationInput.Tokens(AttemptNumber(1), offset, TOKEN), now)
    }

    private fun perToken(tokens: Int, action: (Generation, Instant) -> Unit): Long {
        val spec = EngineModel.spec(EngineModel.LATENCY_FIRST, tokens + 1)
        val generation = Generation(spec, AttemptBudget { false }, TokenLatencyTracker())
        var now = CopyRun.START
        generation.handle(GenerationInput.Start, now)
        generation.handle(GenerationInput.Opened(AttemptNumber(1), TargetId("t")), now)
        val before = System.nanoTime()
        repeat(tokens) {
            now += EngineModel.MEDIAN_TOKEN_INTERVAL
            action(generation, now)
        }
        return (System.nanoTime() - before) / tokens
    }
}
