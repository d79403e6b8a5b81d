/** The in-memory membership core. */
package burdockspread.membership

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentSet
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

internal class RealMembership(private val settings: MembershipSettings) : Membership {
    private val presences = PresenceTable<HostId>()
    private val failures = HashMap<HostId, FailureCounter>()
    private var members = persistentMapOf<HostId, Member>()
    private var ownPresence: Presence? = null

    override val snapshot: AtomicReference<MembershipSnapshot> =
        AtomicReference(MembershipSnapshot(members, emptySet()))

    override fun start(incarnation: Long, now: Instant): ImmutableList<MembershipEffect> {
        val received = presences.get(settings.host)?.incarnation ?: -1
        return publishSelf(Presence(maxOf(incarnation, received + 1)), now)
    }

    override fun onMember(member: Member, now: Instant): ImmutableList<MembershipEffect> {
        if (member.host == settings.host) return onOwnPresence(member.presence, now)
        if (!accept(member, now)) return persistentListOf()
        updateSnapshot(now)
        return persistentListOf()
    }

    override fun onPlatformList(
        reports: ImmutableList<PlatformReport<HostId>>,
        now: Instant,
    ): ImmutableList<MembershipEffect> {
        val effects = reports.mapNotNull { report ->
            val presence = presences.onPlatform(report) ?: return@mapNotNull null
            if (report.id == settings.host) {
                drainEffect(presence)
            } else {
                declare(report.id, presence, now)
            }
        }
        updateSnapshot(now)
        return effects.toImmutableList()
    }

    override fun onRefused(host: HostId, now: Instant): ImmutableList<MembershipEffect> {
        failuresOf(host).onRefused(now)
        return suspectIfDue(host, now)
    }

    override fun onTimeout(host: HostId, now: Instant): ImmutableList<MembershipEffect> {
        failuresOf(host).onTimeout(now)
        return suspectIfDue(host, now)
    }

    override fun onResponse(host: HostId, now: Instant) {
        if (failures.remove(host) != null) updateSnapshot(now)
    }

    override fun leave(now: Instant): ImmutableList<MembershipEffect> {
        val current = ownPresence ?: return persistentListOf()
        if (current.leaving) return persistentListOf()
        return publishSelf(current.copy(leaving = true, suspicion = Suspicion.NONE), now)
    }

    override fun end(now: Instant): ImmutableList<MembershipEffect> {
        val current = ownPresence ?: return persistentListOf()
        return publishSelf(current.copy(leaving = true, suspicion = Suspicion.DEAD), now)
    }

    override fun tick(now: Instant): ImmutableList<MembershipEffect> {
        val overdue = presences.suspects()
            .filter { isInDomain(it) && now - presences.since(it) >= settings.suspicionTimeout }
        val effects = overdue.mapNotNull { host ->
            val presence = presences.get(host) ?: return@mapNotNull null
            declare(host, presence.copy(suspicion = Suspicion.DEAD), now)
        }
        failures.keys.removeAll { it !in members }
        presences.removeDead(now - settings.retentionPeriod)
        updateSnapshot(now)
        return effects.toImmutableList()
    }

    /**
     * Handles a report about this host: refutes suspicions, and supersedes records of earlier
     * incarnations with a higher one.
     */
    private fun onOwnPresence(received: Presence, now: Instant): ImmutableList<MembershipEffect> {
        val current = ownPresence
        if (current == null) {
            presences.put(settings.host, received, now)
            return persistentListOf()
        }
        if (received <= current || current.suspicion == Suspicion.DEAD) return persistentListOf()
        if (received.incarnation > current.incarnation) {
            return publishSelf(Presence(received.incarnation + 1, current.leaving), now)
        }
        val drain = drainEffect(received)
        val effects = publishSelf(received.refuted(), now)
        return (effects + listOfNotNull(drain)).toImmutableList()
    }

    private fun drainEffect(reported: Presence): MembershipEffect? {
        val isNew = reported.leaving && ownPresence?.leaving == false
        return if (isNew) MembershipEffect.DrainRequested else null
    }

    private fun publishSelf(presence: Presence, now: Instant): ImmutableList<MembershipEffect> {
        ownPresence = presence
        val member = Member(
            settings.host,
            settings.domain,
            settings.region,
            settings.address,
            presence,
        )
        accept(member, now)
        updateSnapshot(now)
        return persistentListOf(MembershipEffect.Publish(member))
    }

    private fun declare(host: HostId, presence: Presence, now: Instant): MembershipEffect? {
        val member = members[host]?.copy(presence = presence) ?: return null
        if (!accept(member, now)) return null
        return MembershipEffect.Publish(member)
    }

    private fun accept(member: Member, now: Instant): Boolean {
        if (!presences.put(member.host, member.presence, now)) return false
        members = if (member.presence.state == MemberState.DEAD) {
            members.remove(member.host)
        } else {
            members.put(member.host, member)
        }
        return true
    }

    /**
     * Declares [host] suspect after enough failures, if it is in the same failure domain: hosts of
     * other failure domains cannot tell a dead host from a network partition.
     */
    private fun suspectIfDue(host: HostId, now: Instant): ImmutableList<MembershipEffect> {
        val presence = presences.get(host)
        val counter = failuresOf(host)
        val due = counter.refusals >= settings.refusalsToSuspect ||
            counter.timeouts >= settings.timeoutsToSuspect
        val suspect = due && presence?.suspicion == Suspicion.NONE && isInDomain(host)
        val effect = if (suspect) {
            declare(host, presence!!.copy(suspicion = Suspicion.SUSPECT), now)
        } else {
            null
        }
        updateSnapshot(now)
        return listOfNotNull(effect).toImmutableList()
    }

    private fun isInDomain(host: HostId): Boolean = members[host]?.domain == settings.domain

    private fun failuresOf(host: HostId): FailureCounter =
        failures.getOrPut(host) { FailureCounter() }

    private fun updateSnapshot(now: Instant) {
        val unreachable = failures.filterValues { it.isRecent(now, settings.unreachablePeriod) }
        snapshot.set(MembershipSnapshot(members, unreachable.keys.toPersistentSet()))
    }
}
