/** Compares three ways to survive the loss of an entry host. */
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

/** How a generation survives the loss of its entry host. */
internal enum class EntryLossWay { CALLER_CARRIES, PEER_COPIES, RESTART }

/** Counts for one way over many lost hosts. */
internal class EntryFigures {
    private val wait = Histogram(3)
    var lost = 0
    var resumed = 0
    var generatedAgain = 0L
    var readAgain = 0L
    var carriedBytes = 0L
    val copies = CopyFigures()

    fun goesOn(after: Duration) = wait.recordValue(after.inWholeMilliseconds)

    fun waitAt(percentile: Double): Duration = wait.getValueAtPercentile(percentile).milliseconds
}

/** The comparison over entry host losses: each generation loses its host once. */
internal object EntryLoss {
    private const val GENERATIONS = 300
    private const val SHARE_STREAMING = 0.8
    private const val TOKEN_BYTES = 4
    private val SELF = HostId("entry-r1-d3-11")

    fun measure(way: EntryLossWay, policy: CopyPolicy = CopyPolicy()): EntryFigures {
        val random = Random(EngineModel.SEED)
        val engines = EngineModel(random)
        val figures = EntryFigures()
        repeat(GENERATIONS) {
            val length = engines.length()
            val diesAt = EngineModel.MEDIAN_GAP * random.nextInt(1, length)
            val run = CopyRun(length, policy, engines, figures.copies, diesAt)
            run.run()
            val streaming = random.nextDouble() < SHARE_STREAMING
            figures.lost++
            loseHost(way, run, streaming, engines, figures)
        }
        return figures
    }

    private fun loseHost(
        way: EntryLossWay,
        run: CopyRun,
        streaming: Boolean,
        engines: EngineModel,
        figures: EntryFigures,
    ) {
        val seen = run.journal.released
        val kept = when (way) {
            EntryLossWay.CALLER_CARRIES -> if (streaming) seen else 0
            EntryLossWay.PEER_COPIES -> fromCopies(run, if (streaming) seen else null)
            EntryLossWay.RESTART -> 0
        }
        if (way == EntryLossWay.CALLER_CARRIES) figures.carriedBytes += kept * TOKEN_BYTES
        if (kept > 0) figures.resumed++
        val uncached = engines.uncached(kept, preferCached = false)
        figures.readAgain += uncached
        figures.generatedAgain += run.log.size - kept
        var wait = engines.reconnect() + engines.prefill(uncached, preferCached = false)
        repeat(seen - kept) { wait += engines.gap() }
        figures.goesOn(wait)
    }

    /** Number of tokens that the copy saves for a caller that saw [seen], or null for none. */
    private fun fromCopies(run: CopyRun, seen: Int?): Int {
        val last = seen?.let { EventId(run.key.generation, run.owner, it) }
        val caller = ReconnectingCaller(run.key.request, last, acceptsRestart = true)
        val sightings = listOf(LookupResult.Unreachable(run.owner.host)) +
            run.copies.find(run.key.request).map { LookupResult.Copy(CopyRun.HOLDER, it) }
        val decision = decideReconnect(caller, SELF, sightings)
        if (decision is ReconnectDecision.Replay) return run.log.size
        if (decision !is ReconnectDecision.TakeOver) return 0
        val taker = BranchId(decision.epoch, SELF, 2)
        val claim: ClaimOutcome = run.copies.claim(decision.key, taker)
        val result = resolveTakeover(caller, taker, listOf(claim))
        return if (result is TakeoverResult.TakenOver) result.copy.head.length else 0
    }

    fun print() {
        println("Entry host losses: $GENERATIONS long generations, each loses its host once")
        println(
            "way              resumed  goes on p50  goes on p99  again/loss  read/loss  " +
                "copied B/token  carried B/loss",
        )
        EntryLossWay.entries.forEach { row(it, measure(it)) }
        println()
    }

    private fun row(way: EntryLossWay, figures: EntryFigures) {
        val copied = if (way == EntryLossWay.PEER_COPIES) figures.copies.bytesPerToken else 0.0
        println(
            "%-15s %4d/%3d %9d ms %9d ms %11.0f %10.0f %15.1f %15.0f".format(
                way.name.lowercase().replace('_', ' '), figures.resumed, figures.lost,
                figures.waitAt(50.0).inWholeMilliseconds, figures.waitAt(99.0).inWholeMilliseconds,
                figures.generatedAgain.toDouble() / figures.lost,
                figures.readAgain.toDouble() / figures.lost, copied,
                figures.carriedBytes.toDouble() / figures.lost,
            ),
        )
    }
}
