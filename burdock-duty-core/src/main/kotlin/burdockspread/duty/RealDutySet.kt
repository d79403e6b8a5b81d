/** Default implementation of [DutySet], kept in memory. */
package burdockspread.duty

import burdockspread.id.HostId
import burdockspread.store.ResolvedWrite
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

internal class RealDutySet(private val self: CandidateId, private val settings: LeaseSettings) :
    DutySet {
    private val leases = LinkedHashMap<Duty, Lease>()
    private var activeDuties = emptySet<Duty>()
    private var candidates = emptyList<Candidate>()
    private var candidacies = emptyMap<Duty, Candidacy>()

    override val snapshot: AtomicReference<ImmutableMap<Duty, HeldLease>> =
        AtomicReference(persistentMapOf())

    override fun held(duty: Duty, now: Instant): HeldLease? =
        snapshot.get()[duty]?.takeIf { now < it.deadline }

    override fun onDuties(duties: ImmutableList<Duty>) {
        activeDuties = duties.toSet()
        duties.forEach { leases.getOrPut(it) { RealLease(it, self, settings) } }
        candidacies = activeDuties.associateWith { candidacyOf(it) }
    }

    override fun onCandidates(candidates: ImmutableList<Candidate>) {
        val departedHosts = this.candidates.map { it.host } - candidates.map { it.host }.toSet()
        this.candidates = candidates
        candidacies = activeDuties.associateWith { candidacyOf(it) }
        leases.values
            .filter { lease -> departedHosts.any { isHeldBy(lease, it) } }
            .forEach { it.scheduleRead() }
    }

    override fun tick(now: Instant): ImmutableList<LeaseEffect> {
        val effects = mutableListOf<LeaseEffect>()
        for ((duty, lease) in leases) {
            val candidacy = candidacies[duty] ?: Candidacy.NONE
            if (candidacy.isAcquiring || !lease.isIdle) effects += lease.tick(candidacy, now)
        }
        publishSnapshot(now)
        leases.entries.removeAll { (duty, lease) -> duty !in activeDuties && lease.isIdle }
        return effects.toImmutableList()
    }

    override fun onRead(duty: Duty, read: LeaseRead, now: Instant): ImmutableList<LeaseEffect> =
        handleEvent(duty, now) { it.onRead(read, now) }

    override fun onWritten(
        duty: Duty,
        writeId: String,
        result: ResolvedWrite,
        now: Instant,
    ): ImmutableList<LeaseEffect> = handleEvent(duty, now) { it.onWritten(writeId, result, now) }

    private fun handleEvent(
        duty: Duty,
        now: Instant,
        event: (Lease) -> ImmutableList<LeaseEffect>,
    ): ImmutableList<LeaseEffect> {
        val lease = leases[duty] ?: return persistentListOf()
        val effects = event(lease)
        publishSnapshot(now)
        return effects
    }

    private fun candidacyOf(duty: Duty): Candidacy =
        when (rendezvousRank(duty, self.host, candidates)) {
            null -> Candidacy.NONE
            0 -> Candidacy.FIRST
            1 -> Candidacy.BACKUP
            else -> Candidacy.KEEP
        }

    private fun isHeldBy(lease: Lease, host: HostId): Boolean =
        lease.lastSeenHolder?.startsWith("$host/") ?: false

    private fun publishSnapshot(now: Instant) {
        val held = leases.mapNotNull { (duty, lease) -> lease.held(now)?.let { duty to it } }
        snapshot.set(held.toMap().toImmutableMap())
    }
}
