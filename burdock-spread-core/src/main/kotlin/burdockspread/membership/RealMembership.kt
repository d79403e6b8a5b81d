/** The membership core that keeps its view in memory. */
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
    private val view = PresenceView<HostId>()
    private val failures = HashMap<HostId, Failures>()
    private var members = persistentMapOf<HostId, Member>()
    private var own: Presence? = null

    override val snapshot: AtomicReference<MembershipSnapshot> =
        AtomicReference(MembershipSnapshot(members, emptySet()))

    override fun start(incarnation: Long, now: Instant): ImmutableList<MembershipEffect> {
        val heard = view.get(settings.host)?.incarnation ?: -1
        return declareSelf(Presence(maxOf(incarnation, heard + 1)), now)
    }

    override fun onMember(member: Member, now: Instant): ImmutableList<MembershipEffect> {
        if (member.host == settings.host) return onSelf(member.presence, now)
        if (!accept(member, now)) return persistentListOf()
        refresh(now)
        return persistentListOf()
    }

    override fun onPlatformList(
        reports: ImmutableList<PlatformReport<HostId>>,
        now: Instant,
    ): ImmutableList<MembershipEffect> {
        val effects = reports.mapNotNull { report ->
            val presence = view.onPlatform(report) ?: return@mapNotNull null
            if (report.id == settings.host) {
                drainRequest(presence)
            } else {
                declare(report.id, presence, now)
            }
        }
        refresh(now)
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
        if (failures.remove(host) != null) refresh(now)
    }

    override fun leave(now: Instant): ImmutableList<MembershipEffect> {
        val present = own ?: return persistentListOf()
        if (present.leaving) return persistentListOf()
        return declareSelf(present.copy(leaving = true, suspicion = Suspicion.NONE), now)
    }

    override fun end(now: Instant): ImmutableList<MembershipEffect> {
        val present = own ?: return persistentListOf()
        return declareSelf(present.copy(leaving = true, suspicion = Suspicion.DEAD), now)
    }

    override fun tick(now: Instant): ImmutableList<MembershipEffect> {
        val overdue = view.suspects()
            .filter { isInDomain(it) && now - view.since(it) >= settings.suspectPeriod }
        val effects = overdue.mapNotNull { host ->
            val presence = view.get(host) ?: return@mapNotNull null
            declare(host, presence.copy(suspicion = Suspicion.DEAD), now)
        }
        failures.keys.removeAll { it !in members }
        view.forgetDead(now - settings.forgetPeriod)
        refresh(now)
        return effects.toImmutableList()
    }

    /** Answers what others say about this host: it refutes suspicion and outlives old records. */
    private fun onSelf(heard: Presence, now: Instant): ImmutableList<MembershipEffect> {
        val present = own
        if (present == null) {
            view.put(settings.host, heard, now)
            return persistentListOf()
        }
        if (heard <= present || present.suspicion == Suspicion.DEAD) return persistentListOf()
        if (heard.incarnation > present.incarnation) {
            return declareSelf(Presence(heard.incarnation + 1, present.leaving), now)
        }
        val drain = drainRequest(heard)
        val effects = declareSelf(heard.refuted(), now)
        return (effects + listOfNotNull(drain)).toImmutableList()
    }

    private fun drainRequest(reported: Presence): MembershipEffect? {
        val isNews = reported.leaving && own?.leaving == false
        return if (isNews) MembershipEffect.DrainRequested else null
    }

    private fun declareSelf(presence: Presence, now: Instant): ImmutableList<MembershipEffect> {
        own = presence
        val member = Member(
            settings.host,
            settings.domain,
            settings.region,
            settings.address,
            presence,
        )
        accept(member, now)
        refresh(now)
        return persistentListOf(MembershipEffect.Publish(member))
    }

    private fun declare(host: HostId, presence: Presence, now: Instant): MembershipEffect? {
        val member = members[host]?.copy(presence = presence) ?: return null
        if (!accept(member, now)) return null
        return MembershipEffect.Publish(member)
    }

    private fun accept(member: Member, now: Instant): Boolean {
        if (!view.put(member.host, member.presence, now)) return false
        members = if (member.presence.state == MemberState.DEAD) {
            members.remove(member.host)
        } else {
            members.put(member.host, member)
        }
        return true
    }

    /** Only the hosts of the subject's own failure domain can tell its death from a cut. */
    private fun suspectIfDue(host: HostId, now: Instant): ImmutableList<MembershipEffect> {
        val presence = view.get(host)
        val seen = failuresOf(host)
        val due = seen.refusals >= settings.refusalsToSuspect ||
            seen.timeouts >= settings.timeoutsToSuspect
        val suspect = due && presence?.suspicion == Suspicion.NONE && isInDomain(host)
        val effect = if (suspect) {
            declare(host, presence!!.copy(suspicion = Suspicion.SUSPECT), now)
        } else {
            null
        }
        refresh(now)
        return listOfNotNull(effect).toImmutableList()
    }

    private fun isInDomain(host: HostId): Boolean = members[host]?.domain == settings.domain

    private fun failuresOf(host: HostId): Failures = failures.getOrPut(host) { Failures() }

    private fun refresh(now: Instant) {
        val unreachable = failures.filterValues { it.isRecent(now, settings.unreachablePeriod) }
        snapshot.set(MembershipSnapshot(members, unreachable.keys.toPersistentSet()))
    }
}
