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

/** Drives the membership and target cores on the gossip thread; publishes by [spread]. */
internal class PresenceRunner(
    private val scope: CoroutineScope,
    settings: MembershipSettings,
    private val spread: SpreadRunner,
    private val time: TimeSource,
    private val onChange: () -> Unit,
    private val onDrainRequest: () -> Unit,
) {
    private val membership = Membership.factory.create(settings)
    private val targets = TargetView.factory.create(TargetViewSettings(settings.domain))
    private var seen = targets.snapshot.get()

    /** Current membership as seen by this host. */
    val hosts: MembershipSnapshot get() = membership.snapshot.get()

    /** Returns whether [target] accepts new work. */
    fun takesNewWork(target: TargetId): Boolean = targets.snapshot.get().takesNewWork(target)

    /** Announces this host and updates both cores until cancelled. */
    suspend fun run() {
        withContext(spread.thread) {
            perform(membership.start(time.now().toEpochMilliseconds(), time.now()))
        }
        while (true) {
            withContext(spread.thread) { tick() }
            delay(TICK)
        }
    }

    /** Announces that this host accepts no new work. */
    fun leave() {
        scope.launch(spread.thread) { perform(membership.leave(time.now())) }
    }

    /** Announces that this process stops. */
    suspend fun end(): Unit = withContext(spread.thread) { perform(membership.end(time.now())) }

    /** Updates the targets from [document]. */
    fun onDocument(document: DocumentView) {
        val listed = document.targets.map { DocumentTarget(it.id, it.failureDomain, it.leaving) }
        scope.launch(spread.thread) {
            publish(targets.onDocument(listed.toImmutableList(), time.now()))
            reportChange()
        }
    }

    /** Records that [target] refused a connection. */
    fun onRefused(target: TargetId) {
        scope.launch(spread.thread) {
            publish(targets.onRefused(target, time.now()))
            reportChange()
        }
    }

    /** Records that [target] responded; matters only if it currently gets no new work. */
    fun onAnswered(target: TargetId) {
        if (takesNewWork(target)) return
        scope.launch(spread.thread) {
            publish(targets.onResponse(target, null, leaving = false, time.now()))
            reportChange()
        }
    }

    /** Applies an entry of kind `HOST` or `TARGET`. Must be called on the gossip thread. */
    fun onEntry(entry: Entry) {
        val presence = Presence.ofVersion(entry.version)
        if (entry.key.kind == EntryKind.TARGET) {
            targets.onPresence(TargetId(entry.key.name), presence, time.now())
            return reportChange()
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
    fun onHostAnswered(host: HostId): Unit = membership.onResponse(host, time.now())

    /** Records that [host] failed to respond. Must be called on the gossip thread. */
    fun onHostFailed(host: HostId, refused: Boolean) {
        val now = time.now()
        perform(if (refused) membership.onRefused(host, now) else membership.onTimeout(host, now))
    }

    private fun tick() {
        perform(membership.tick(time.now()))
        targets.tick(time.now())
        reportChange()
        val peers = hosts.members.values.map { it.peer }
        spread.setPeers(peers.filter { it.host != spread.self })
    }

    private fun reportChange() {
        val now = targets.snapshot.get()
        if (now == seen) return
        seen = now
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
        spread.put(Entry(key, presence.version, EntryBytes.of(value), retired = dead))
    }

    private companion object {
        val TICK = 500.milliseconds
        val log = LogManager.getLogger(PresenceRunner::class.java)
    }
}
