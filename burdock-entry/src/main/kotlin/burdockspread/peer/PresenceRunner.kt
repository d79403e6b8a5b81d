/** Membership of hosts and availability of targets. */
package burdockspread.peer

import burdockspread.document.DocumentView
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.membership.DocumentTarget
import burdockspread.membership.Member
import burdockspread.membership.MemberState
import burdockspread.membership.Membership
import burdockspread.membership.MembershipEffect
import burdockspread.membership.MembershipSettings
import burdockspread.membership.MembershipSnapshot
import burdockspread.membership.Presence
import burdockspread.membership.TargetEffect
import burdockspread.membership.TargetView
import burdockspread.membership.TargetViewSettings
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.time.TimeSource
import burdockspread.wire.spread.HostInfo
import burdockspread.wire.spread.hostInfo
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import kotlin.time.Duration.Companion.milliseconds

/** Drives the membership and target cores on the gossip thread; publishes by [gossip]. */
internal class PresenceRunner(
    private val scope: CoroutineScope,
    settings: MembershipSettings,
    private val gossip: GossipRunner,
    private val time: TimeSource,
    private val onChange: () -> Unit,
    private val onDrainRequest: () -> Unit,
) {
    private val membership = Membership.factory.create(settings)
    private val targets = TargetView.factory.create(TargetViewSettings(settings.domain))
    private var lastSnapshot = targets.snapshot.get()

    /** Current membership as seen by this host. */
    val hosts: MembershipSnapshot get() = membership.snapshot.get()

    /** Returns whether [target] accepts new work. */
    fun takesNewWork(target: TargetId): Boolean = targets.snapshot.get().takesNewWork(target)

    /** Announces this host and updates both cores until cancelled. */
    suspend fun run() {
        withContext(gossip.thread) {
            perform(membership.start(time.now().toEpochMilliseconds(), time.now()))
        }
        while (true) {
            withContext(gossip.thread) { tick() }
            delay(TICK_INTERVAL)
        }
    }

    /** Announces that this host accepts no new work. */
    fun leave() {
        scope.launch(gossip.thread) { perform(membership.leave(time.now())) }
    }

    /** Announces that this process stops. */
    suspend fun end(): Unit = withContext(gossip.thread) { perform(membership.end(time.now())) }

    /** Updates the targets from [document]. */
    fun onDocument(document: DocumentView) {
        val documentTargets =
            document.targets.map { DocumentTarget(it.id, it.failureDomain, it.leaving) }
        scope.launch(gossip.thread) {
            publish(targets.onDocument(documentTargets.toImmutableList(), time.now()))
            notifyIfChanged()
        }
    }

    /** Records that [target] refused a connection. */
    fun onTargetRefused(target: TargetId) {
        scope.launch(gossip.thread) {
            publish(targets.onRefused(target, time.now()))
            notifyIfChanged()
        }
    }

    /** Records that [target] responded; matters only if it currently gets no new work. */
    fun onTargetResponded(target: TargetId) {
        if (takesNewWork(target)) return
        scope.launch(gossip.thread) {
            publish(targets.onResponse(target, null, leaving = false, time.now()))
            notifyIfChanged()
        }
    }

    /** Applies an entry of kind `HOST` or `TARGET`. Must be called on the gossip thread. */
    fun onEntry(entry: Entry) {
        val presence = Presence.ofVersion(entry.version)
        if (entry.key.kind == EntryKind.TARGET) {
            targets.onPresence(TargetId(entry.key.name), presence, time.now())
            return notifyIfChanged()
        }
        val info = HostInfo.parseFrom(entry.value.toByteArray())
        val member =
            Member(
                HostId(entry.key.name),
                FailureDomainId(info.failureDomain),
                info.region,
                info.address,
                presence,
            )
        perform(membership.onMember(member, time.now()))
    }

    /** Records that [host] responded. Must be called on the gossip thread. */
    fun onHostResponded(host: HostId): Unit = membership.onResponse(host, time.now())

    /** Records that [host] failed to respond. Must be called on the gossip thread. */
    fun onHostFailed(host: HostId, isRefused: Boolean) {
        val now = time.now()
        perform(if (isRefused) membership.onRefused(host, now) else membership.onTimeout(host, now))
    }

    private fun tick() {
        perform(membership.tick(time.now()))
        targets.tick(time.now())
        notifyIfChanged()
        val peers = hosts.members.values.map { it.peer }
        gossip.setPeers(peers.filter { it.host != gossip.self })
    }

    private fun notifyIfChanged() {
        val now = targets.snapshot.get()
        if (now == lastSnapshot) return
        lastSnapshot = now
        onChange()
    }

    private fun perform(effects: List<MembershipEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is MembershipEffect.Publish -> publish(effect.member)
                is MembershipEffect.DrainRequested -> onDrainRequest()
            }
        }
    }

    private fun publish(member: Member) {
        val info =
            hostInfo {
                failureDomain = member.domain.value
                region = member.region
                address = member.address
            }
        put(EntryKey(EntryKind.HOST, member.host.value), member.presence, info.toByteArray())
    }

    private fun publish(effects: List<TargetEffect>) {
        effects.filterIsInstance<TargetEffect.Publish>().forEach {
            log.info("target {} is {}", it.target, it.presence.state)
            put(EntryKey(EntryKind.TARGET, it.target.value), it.presence, ByteArray(0))
        }
    }

    private fun put(key: EntryKey, presence: Presence, value: ByteArray) {
        val dead = presence.state == MemberState.DEAD
        gossip.put(Entry(key, presence.version, EntryBytes.of(value), retired = dead))
    }

    private companion object {
        val TICK_INTERVAL = 500.milliseconds
        val log = LogManager.getLogger(PresenceRunner::class.java)
    }
}
