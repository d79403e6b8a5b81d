/** Simulates copying the journal of one generation, in virtual time. */
package burdockspread.bench.generation

import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.journal.BranchId
import burdockspread.journal.CopyKey
import burdockspread.journal.CopyLimits
import burdockspread.journal.CopyPolicy
import burdockspread.journal.JournalCopies
import burdockspread.journal.JournalEffect
import burdockspread.journal.JournalInput
import burdockspread.journal.Lineage
import burdockspread.journal.OwnerJournal
import burdockspread.journal.RequestKey
import kotlinx.collections.immutable.persistentListOf
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A generation of [length] tokens with one holder; its host fails after [failsAt], if given. */
internal class CopyRun(
    private val length: Int,
    policy: CopyPolicy,
    private val engines: EngineModel,
    private val stats: CopyStats,
    private val failsAt: Duration = Duration.INFINITE,
) {
    val key = CopyKey(
        RequestKey(OrganisationId("organisation"), RequestId("0f8fad5b-d9cb-469f-a165")),
        GenerationId("7c9e6679-7425-40de-944b"),
    )
    val owner = BranchId(1, HostId("entry-r1-d1-07"), 1)
    val lineage = Lineage.of(owner)
    val log = TokenLog()
    val copies = JournalCopies(CopyLimits(MAX_COPY_BYTES))
    val journal = OwnerJournal(key, lineage, log, BODY, START, policy)
    private val acceptedAt = ArrayList<Instant>()
    private var pendingReply: (() -> List<JournalEffect>)? = null
    private var replyAt = Instant.DISTANT_FUTURE
    private var now = START
    private var finished = false

    fun run() {
        feed { journal.handle(JournalInput.HoldersChanged(persistentListOf(HOLDER)), now) }
        var tokenAt = now + engines.tokenInterval()
        while (!finished) {
            val deadline = journal.nextDeadline() ?: Instant.DISTANT_FUTURE
            now = minOf(tokenAt, replyAt, deadline)
            if (now - START >= failsAt) return
            when (now) {
                replyAt -> onReply()
                tokenAt -> tokenAt = appendToken()
                else -> feed { journal.handle(JournalInput.Tick, now) }
            }
        }
    }

    private fun appendToken(): Instant {
        log.append(listOf("tok "))
        acceptedAt += now
        stats.tokens++
        feed { journal.handle(JournalInput.TokensAppended, now) }
        if (log.size < length) return now + engines.tokenInterval()
        feed { journal.handle(JournalInput.Finished(FinishReason.LENGTH), now) }
        return Instant.DISTANT_FUTURE
    }

    private fun onReply() {
        val reply = pendingReply
        pendingReply = null
        replyAt = Instant.DISTANT_FUTURE
        reply?.let { feed(it) }
    }

    private fun feed(action: () -> List<JournalEffect>) {
        val before = journal.released
        val effects = action()
        for (i in before until journal.released) stats.delay.record(now - acceptedAt[i])
        effects.forEach { execute(it) }
    }

    private fun execute(effect: JournalEffect) {
        when (effect) {
            is JournalEffect.Send -> {
                stats.bytes += serializedBytes(effect.batch)
                stats.batches++
                replyAt = now + ROUND_TRIP
                pendingReply = {
                    val outcome = copies.append(effect.batch, now)
                    journal.handle(JournalInput.HolderAnswered(HOLDER, outcome), now)
                }
            }
            is JournalEffect.Release -> finished = effect.finish != null
            else -> Unit
        }
    }

    companion object {
        val START: Instant = Instant.fromEpochSeconds(0)
        val HOLDER = HostId("entry-r1-d2-03")

        /** Round trip between two failure domains of a region, including queueing at the holder. */
        val ROUND_TRIP = 500.microseconds
        const val MAX_COPY_BYTES = 64L shl 20

        /** A request body with a prompt of about [EngineModel.PROMPT_TOKENS] tokens. */
        val BODY = "word".repeat(EngineModel.PROMPT_TOKENS)
        private fun Histogram.record(time: Duration) = recordValue(time.inWholeMicroseconds)
    }
}

/** Totals and release delays over copied generations. */
internal class CopyStats {
    val delay = Histogram(3)
    var tokens = 0L
    var bytes = 0L
    var batches = 0L

    val bytesPerToken: Double get() = bytes.toDouble() / tokens

    fun delayAt(percentile: Double): Duration =
        (delay.getValueAtPercentile(percentile) / 1_000.0).milliseconds
}
