/** Tests the assignment of duties to candidates. */
package burdockspread.duty

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.store.ResolvedWrite
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class DutySetTest {
    private val now = Instant.fromEpochSeconds(1_000_000)
    private val candidates = List(56) {
        Candidate(HostId("h$it"), FailureDomainId("d${it / 14}"))
    }

    @Test
    fun `duties are distributed evenly and those of a failure domain stay in it`() {
        val duties = List(560) { Duty.claims(it) }
        val perHost = duties.groupingBy { ranking(it).first() }.eachCount()
        assertEquals(56, perHost.size)
        assertTrue(perHost.values.max() <= 24, "${perHost.values.max()}")
        val relay = Duty.relay(FailureDomainId("d2"))
        assertTrue(ranking(relay).all { it.domain.value == "d2" })
    }

    @Test
    fun `only the primary and backup candidates access the store`() {
        val duty = Duty.claims(1)
        val accessing = candidates.filter { set(it.host, duty).tick(now).isNotEmpty() }
        assertEquals(ranking(duty).take(2).toSet(), accessing.toSet())
    }

    @Test
    fun `host that is no longer a candidate releases its duties`() {
        val duty = Duty.claims(1)
        val set = set(ranking(duty).first().host, duty)
        acquire(set, duty)
        set.onCandidates(persistentListOf())
        val (lost, write) = set.tick(now + 1.seconds)
        assertEquals(LossReason.RELEASED, assertIs<LeaseEffect.Lost>(lost).reason)
        assertNull(assertIs<LeaseEffect.Write>(write).record.holder)
        assertNull(set.held(duty, now + 1.seconds))
    }

    @Test
    fun `lease in the snapshot expires at its deadline without a tick`() {
        val duty = Duty.claims(1)
        val set = set(ranking(duty).first().host, duty)
        acquire(set, duty)
        assertNotNull(set.held(duty, now + 12.seconds))
        assertNull(set.held(duty, now + 13.seconds))
    }

    private fun ranking(duty: Duty): List<Candidate> = candidates
        .filter { rendezvousRank(duty, it.host, candidates) != null }
        .sortedBy { rendezvousRank(duty, it.host, candidates) }

    private fun set(host: HostId, duty: Duty): DutySet =
        DutySet.factory.create(CandidateId(host, 1), LeaseSettings()).also {
            it.onDuties(persistentListOf(duty))
            it.onCandidates(candidates.toImmutableList())
        }

    private fun acquire(set: DutySet, duty: Duty) {
        assertIs<LeaseEffect.Read>(set.tick(now).single())
        val write = set.onRead(duty, LeaseRead.Missing, now).single()
        assertIs<LeaseEffect.Write>(write)
        set.onWritten(duty, write.writeId, ResolvedWrite.Written(1), now)
        assertNotNull(set.held(duty, now))
    }
}
