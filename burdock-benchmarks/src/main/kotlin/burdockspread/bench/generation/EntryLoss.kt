/** Compares three strategies for recovering from the failure of an entry host. */
package burdockspread.bench.generation

import burdockspread.id.HostId
import burdockspread.journal.BranchId
import burdockspread.journal.ClaimOutcome
import burdockspread.journal.CopyPolicy
import burdockspread.journal.EventId
import burdockspread.journal.LookupResult
import burdockspread.journal.ReconnectDecision
import burdockspread.journal.ReconnectingCaller
import burdockspread.journal.TakeoverResult
import burdockspread.journal.decideReconnect
import burdockspread.journal.resolveTakeover
import org.HdrHistogram.Histogram
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a generation recovers from the failure of its entry host. */
internal enum class EntryRecovery { CALLER_CARRIES, PEER_COPIES, RESTART }

/** Statistics of one strategy over many host failures. */
internal class EntryLossStats {
    private val pause = Histogram(3)
    var hostLosses = 0
    var resumed = 0
    var regeneratedTokens = 0L
    var reprefilledTokens = 0L
    var carriedBytes = 0L
    val copies = CopyStats()

    fun recordPause(after: Duration) = pause.recordValue(after.inWholeMilliseconds)

    fun pauseAt(percentile: Double): Duration = pause.getValueAtPercentile(percentile).milliseconds
}

/** Comparison under entry host failures: the host of each generation fails once. */
internal object EntryLoss {
    private const val GENERATIONS = 300
    private const val STREAMING_RATIO = 0.8
    private const val TOKEN_BYTES = 4
    private val SELF = HostId("entry-r1-d3-11")

    fun measure(recovery: EntryRecovery, policy: CopyPolicy = CopyPolicy()): EntryLossStats {
        val random = Random(EngineModel.SEED)
        val engines = EngineModel(random)
        val stats = EntryLossStats()
        repeat(GENERATIONS) {
            val length = engines.length()
            val failsAt = EngineModel.MEDIAN_TOKEN_INTERVAL * random.nextInt(1, length)
            val run = CopyRun(length, policy, engines, stats.copies, failsAt)
            run.run()
            val streaming = random.nextDouble() < STREAMING_RATIO
            stats.hostLosses++
            failHost(recovery, run, streaming, engines, stats)
        }
        return stats
    }

    private fun failHost(
        recovery: EntryRecovery,
        run: CopyRun,
        streaming: Boolean,
        engines: EngineModel,
        stats: EntryLossStats,
    ) {
        val seen = run.journal.released
        val recovered = when (recovery) {
            EntryRecovery.CALLER_CARRIES -> if (streaming) seen else 0
            EntryRecovery.PEER_COPIES -> recoverFromCopies(run, if (streaming) seen else null)
            EntryRecovery.RESTART -> 0
        }
        if (recovery == EntryRecovery.CALLER_CARRIES) stats.carriedBytes += recovered * TOKEN_BYTES
        if (recovered > 0) stats.resumed++
        val uncachedTokens = engines.uncachedTokens(recovered, preferCached = false)
        stats.reprefilledTokens += uncachedTokens
        stats.regeneratedTokens += run.log.size - recovered
        var pause = engines.reconnect() + engines.prefill(uncachedTokens, preferCached = false)
        repeat(seen - recovered) { pause += engines.tokenInterval() }
        stats.recordPause(pause)
    }

    /** Returns how many tokens the copy recovers; [seen] is null without an event id. */
    private fun recoverFromCopies(run: CopyRun, seen: Int?): Int {
        val last = seen?.let { EventId(run.key.generation, run.owner, it) }
        val caller = ReconnectingCaller(run.key.request, last, acceptsRestart = true)
        val lookupResults = listOf(LookupResult.Unreachable(run.owner.host)) +
            run.copies.find(run.key.request).map { LookupResult.Copy(CopyRun.HOLDER, it) }
        val decision = decideReconnect(caller, SELF, lookupResults)
        if (decision is ReconnectDecision.Replay) return run.log.size
        if (decision !is ReconnectDecision.TakeOver) return 0
        val newOwner = BranchId(decision.epoch, SELF, 2)
        val claim: ClaimOutcome = run.copies.claim(decision.key, newOwner)
        val result = resolveTakeover(caller, newOwner, listOf(claim))
        return if (result is TakeoverResult.TakenOver) result.copy.head.length else 0
    }

    fun print() {
        println("Entry host losses: $GENERATIONS long generations, each loses its host once")
        println(
            "way              resumed  goes on p50  goes on p99  again/loss  read/loss  " +
                "copied B/token  carried B/loss",
        )
        EntryRecovery.entries.forEach { row(it, measure(it)) }
        println()
    }

    private fun row(recovery: EntryRecovery, stats: EntryLossStats) {
        val copied = if (recovery == EntryRecovery.PEER_COPIES) stats.copies.bytesPerToken else 0.0
        println(
            "%-15s %4d/%3d %9d ms %9d ms %11.0f %10.0f %15.1f %15.0f".format(
                recovery.name.lowercase().replace('_', ' '), stats.resumed, stats.hostLosses,
                stats.pauseAt(50.0).inWholeMilliseconds, stats.pauseAt(99.0).inWholeMilliseconds,
                stats.regeneratedTokens.toDouble() / stats.hostLosses,
                stats.reprefilledTokens.toDouble() / stats.hostLosses, copied,
                stats.carriedBytes.toDouble() / stats.hostLosses,
            ),
        )
    }
}
