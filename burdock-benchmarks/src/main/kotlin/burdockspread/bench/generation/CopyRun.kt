/** Copies the journal of one long generation in virtual time. */
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

/** One generation of [length] tokens with one holder, stopped at [diesAt] if given. */
internal class CopyRun(
    private val length: Int,
    policy: CopyPolicy,
    private val engines: EngineModel,
    private val figures: CopyFigures,
    private val diesAt: Duration = Duration.INFINITE,
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
    private var answer: (() -> List<JournalEffect>)? = null
    private var answerAt = Instant.DISTANT_FUTURE
    private var now = START
    private var finished = false

    fun run() {
        feed { journal.handle(JournalInput.HoldersChanged(persistentListOf(HOLDER)), now) }
        var tokenAt = now + engines.gap()
        while (!finished) {
            val due = journal.nextDeadline() ?: Instant.DISTANT_FUTURE
            now = minOf(tokenAt, answerAt, due)
            if (now - START >= diesAt) return
            when (now) {
                answerAt -> takeAnswer()
                tokenAt -> tokenAt = token()
                else -> feed { journal.handle(JournalInput.Tick, now) }
            }
        }
    }

    private fun token(): Instant {
        log.append(listOf("tok "))
        acceptedAt += now
        figures.tokens++
        feed { journal.handle(JournalInput.TokensAppended, now) }
        if (log.size < length) return now + engines.gap()
        feed { journal.handle(JournalInput.Finished(FinishReason.LENGTH), now) }
        return Instant.DISTANT_FUTURE
    }

    private fun takeAnswer() {
        val given = answer
        answer = null
        answerAt = Instant.DISTANT_FUTURE
        given?.let { feed(it) }
    }

    private fun feed(act: () -> List<JournalEffect>) {
        val before = journal.released
        val effects = act()
        for (i in before until journal.released) figures.delay.record(now - acceptedAt[i])
        effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: JournalEffect) {
        when (effect) {
            is JournalEffect.Send -> {
                figures.bytes += wireBytes(effect.batch)
                figures.batches++
                answerAt = now + ROUND_TRIP
                answer = {
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

        /** Between two failure domains of a region and back, with the holder's queue. */
        val ROUND_TRIP = 500.microseconds
        const val MAX_COPY_BYTES = 64L shl 20

        /** A prompt of about [EngineModel.PROMPT] tokens. */
        val BODY = "word".repeat(EngineModel.PROMPT)
        private fun Histogram.record(time: Duration) = recordValue(time.inWholeMicroseconds)
    }
}

/** Counts over copied generations. */
internal class CopyFigures {
    val delay = Histogram(3)
    var tokens = 0L
    var bytes = 0L
    var batches = 0L

    val bytesPerToken: Double get() = bytes.toDouble() / tokens

    fun delayAt(percentile: Double): Duration =
        (delay.getValueAtPercentile(percentile) / 1_000.0).milliseconds
}
