package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import burdockspread.id.HostId
import burdockspread.journal.JournalEffect.Release
import burdockspread.journal.JournalEffect.Send
import kotlinx.collections.immutable.toPersistentList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OwnerJournalTest {
    private val log = TokenLog()
    private val first = HostId("h1")
    private val second = HostId("h2")
    private val lineage = Lineage.of(branch(1, "a"))
    private val journal = OwnerJournal(copyKey(), lineage, log, "{}", START, CopyPolicy())
    private var now = START

    @Test
    fun `a short generation is released at once and never copied`() {
        holders("h1")
        assertEquals(listOf<JournalEffect>(Release(2, null)), grow("0", "1"))
        val end = handle(JournalInput.Finished(FinishReason.STOP))
        assertEquals(listOf<JournalEffect>(Release(2, FinishReason.STOP)), end)
    }

    @Test
    fun `once copying has started a token is released when a holder has it`() {
        startCopying("h1", "h2")
        assertEquals(emptyList(), grow("1"))
        assertEquals(1, journal.released)
        assertEquals(2, sends(answer(first, AppendOutcome.Appended(1, false))).single().tokens())
        assertEquals(1, journal.released)
        answer(first, AppendOutcome.Appended(2, false))
        assertEquals(2, journal.released)
    }

    @Test
    fun `the end of a copied answer is released when a holder has it`() {
        startCopying("h1")
        answer(first, AppendOutcome.Appended(1, false))
        val sent = sends(handle(JournalInput.Finished(FinishReason.STOP), 60.milliseconds))
        assertEquals(FinishReason.STOP, sent.single().batch.finish)
        val end = answer(first, AppendOutcome.Appended(1, true))
        assertEquals(listOf<JournalEffect>(Release(1, FinishReason.STOP)), end)
    }

    @Test
    fun `a gap is filled from the length that the holder reports`() {
        startCopying("h1")
        grow("1", "2")
        val resent = sends(answer(first, AppendOutcome.Gap(0))).single().batch
        assertEquals(0, resent.offset)
        assertEquals("{}", resent.body)
    }

    @Test
    fun `tokens are released without copies while no holder answers and copied once one does`() {
        startCopying("h1")
        grow("1")
        assertEquals(1, journal.released)
        now = journal.nextDeadline()!!
        handle(JournalInput.Tick)
        assertTrue(journal.isUnreplicated)
        assertEquals(2, journal.released)
        now = journal.nextDeadline()!!
        assertEquals(2, sends(handle(JournalInput.Tick)).single().tokens())
        answer(first, AppendOutcome.Appended(2, false))
        assertTrue(!journal.isUnreplicated)
        grow("2")
        assertEquals(2, journal.released)
    }

    @Test
    fun `a host that resumes after a takeover releases nothing more`() {
        startCopying("h1")
        answer(first, AppendOutcome.Appended(1, false))
        grow("1", after = 60.milliseconds)
        now += 60.seconds
        val effectsAfterPause = handle(JournalInput.Tick)
        assertEquals(1, sends(effectsAfterPause).size)
        val taker = branch(2, "b")
        val effects = answer(first, AppendOutcome.Superseded(taker))
        assertEquals(listOf<JournalEffect>(JournalEffect.Superseded(taker)), effects)
        assertEquals(emptyList(), grow("2"))
        assertEquals(1, journal.released)
        assertTrue(journal.isSuperseded)
    }

    @Test
    fun `a call that fails during a pause of this host releases nothing`() {
        startCopying("h1")
        grow("1")
        now += 60.seconds
        assertEquals(1, sends(handle(JournalInput.HolderUnreachable(first))).size)
        assertEquals(1, journal.released)
    }

    @Test
    fun `a stopping host hands a short generation over completely or reports that it could not`() {
        holders("h1", "h2")
        grow("0", "1")
        assertEquals(2, sends(handle(JournalInput.HandOver)).size)
        answer(first, AppendOutcome.NoRoom)
        val done = answer(second, AppendOutcome.Appended(2, false))
        assertEquals(JournalEffect.HandedOver(second), done.last())

        val withoutHolders = OwnerJournal(copyKey(), lineage, log, "{}", START, CopyPolicy())
        withoutHolders.handle(JournalInput.HandOver, now)
        val failed = withoutHolders.handle(JournalInput.Tick, withoutHolders.nextDeadline()!!)
        assertIs<JournalEffect.HandOverFailed>(failed.last())
    }

    private fun startCopying(vararg hosts: String) {
        holders(*hosts)
        grow("0")
        now += 2.seconds
        assertEquals(hosts.size, sends(handle(JournalInput.Tick)).size)
    }

    private fun holders(vararg hosts: String) =
        handle(JournalInput.HoldersChanged(hosts.map { HostId(it) }.toPersistentList()))

    private fun grow(vararg tokens: String, after: Duration = Duration.ZERO): List<JournalEffect> {
        log.append(tokens.toList())
        return handle(JournalInput.TokensAppended, after)
    }

    private fun answer(holder: HostId, outcome: AppendOutcome) =
        handle(JournalInput.HolderAnswered(holder, outcome), 60.milliseconds)

    private fun handle(input: JournalInput, after: Duration = Duration.ZERO): List<JournalEffect> {
        now += after
        return journal.handle(input, now)
    }

    private fun sends(effects: List<JournalEffect>) = effects.filterIsInstance<Send>()

    private fun Send.tokens() = batch.offset + batch.tokens.size
}
