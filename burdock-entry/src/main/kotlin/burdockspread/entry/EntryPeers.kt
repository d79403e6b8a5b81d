/** Communication between entry hosts. */
package burdockspread.entry

import burdockspread.document.DocumentReplica
import burdockspread.document.DocumentView
import burdockspread.document.SectionPublisher
import burdockspread.document.VersionedSection
import burdockspread.generation.GenerationRegistry
import burdockspread.health.DomainSummary
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.journal.CopyLimits
import burdockspread.journal.CopyPolicy
import burdockspread.limit.OrganisationLimits
import burdockspread.load.TargetLoad
import burdockspread.membership.MemberState
import burdockspread.membership.MembershipSettings
import burdockspread.membership.MembershipSnapshot
import burdockspread.peer.CopyHolder
import burdockspread.peer.HostFilter
import burdockspread.peer.JournalClient
import burdockspread.peer.JournalService
import burdockspread.peer.LimitPeers
import burdockspread.peer.LimitRunner
import burdockspread.peer.PeerChannels
import burdockspread.peer.PeerCopySender
import burdockspread.peer.PeerDirectory
import burdockspread.peer.PeerReturnFinder
import burdockspread.peer.PeerServer
import burdockspread.peer.PresenceRunner
import burdockspread.peer.SpreadOutput
import burdockspread.peer.SpreadRunner
import burdockspread.peer.toDomainSummary
import burdockspread.peer.toEntry
import burdockspread.peer.toTargetLoad
import burdockspread.pool.TargetObserver
import burdockspread.settings.toKotlinDuration
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.spread.GossipSettings
import burdockspread.spread.Peer
import burdockspread.store.RelaySelector
import burdockspread.stream.CopySender
import burdockspread.stream.GenerationSession
import burdockspread.stream.ReturnFinder
import burdockspread.stream.SessionPlanner
import burdockspread.time.TimeSource
import burdockspread.wire.settings.EntrySettings
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Listener for events from other entry hosts. */
internal interface PeerEvents {
    /** Called when targets became available or unavailable. */
    fun targetsChanged()

    /** Called when another host or the platform requests that this host drains. */
    fun drainRequested()

    /** Called when another host of the failure domain published the load of [target]. */
    fun loadArrived(target: TargetId, load: TargetLoad)

    /** Called when another failure domain published its spare capacity. */
    fun summaryArrived(summary: DomainSummary)
}

/** Peer server, clients of other hosts, and journal copies held for them. */
internal class EntryPeers(
    private val settings: EntrySettings,
    private val scope: CoroutineScope,
    private val document: DocumentReplica,
    open: GenerationRegistry<GenerationSession>,
    planner: SessionPlanner,
    time: TimeSource,
    private val events: PeerEvents,
) : TargetObserver,
    SectionPublisher {
    private val host = HostId(settings.host.name)
    private val domain = FailureDomainId(settings.host.failureDomain)
    private val journal = settings.journal
    private val channels = PeerChannels()
    private val directory =
        PeerDirectory(
            host,
            domain,
            settings.host.region,
            document::view,
            HostFilter(::isUsable),
        )
    private val client = JournalClient(directory, channels, CALL_TIMEOUT)

    /** Journal copies held for other hosts. */
    val held: CopyHolder =
        CopyHolder(
            CopyLimits(
                maxBytes = journal.maxCopiesMib * BYTES_PER_MIB,
                keepFinished = journal.keepFinished.toKotlinDuration(),
            ),
        )

    /** Sender of this host's journal batches to other hosts. */
    val copySender: CopySender = PeerCopySender(scope, directory, client, journal.copies)

    /** Policy that decides when this host's generations are copied. */
    val copyPolicy: CopyPolicy =
        CopyPolicy(
            copyAfter = journal.copyAfter.toKotlinDuration(),
            interval = journal.copyInterval.toKotlinDuration(),
        )

    /** Lookup of the generations of reconnecting callers. */
    val returns: ReturnFinder =
        PeerReturnFinder(directory, client, held, planner, journal.copies)

    private val spread =
        SpreadRunner(
            scope,
            GossipSettings(
                self = Peer(host, domain, settings.host.region),
                seedPeers = settings.seedPeersList.map(::seed).toImmutableList(),
            ),
            channels,
            ::addressOf,
            time,
            CALL_TIMEOUT,
        )
    private val presence =
        PresenceRunner(
            scope,
            MembershipSettings(host, domain, settings.host.region, settings.peerAddress),
            spread,
            time,
            events::targetsChanged,
            events::drainRequested,
        )
    private val limitRunner =
        LimitRunner(scope, host, domain, Limits(), channels, time, CALL_TIMEOUT)
    private val server =
        PeerServer(
            settings.peerAddress,
            listOf(JournalService(held, open, time), spread, limitRunner),
        )

    /** Rate limits of organisations on this host. */
    val limits: OrganisationLimits get() = limitRunner.limits

    /** Current membership as seen by this host. */
    val hosts: MembershipSnapshot get() = presence.hosts

    /** Opens the peer port and joins the gossip. */
    fun start() {
        spread.output = Output()
        server.start()
        scope.launch { spread.run() }
        scope.launch { presence.run() }
        scope.launch { limitRunner.run() }
    }

    /** Returns whether this host is a relay that watches the store for its failure domain. */
    fun isRelay(): Boolean {
        val live = presence.hosts.usable().filter { it.domain == domain }
        return RelaySelector.isRelay(host, live.map { it.host })
    }

    /** Returns the live hosts of this failure domain, including this one. */
    fun domainHosts(): List<HostId> =
        (presence.hosts.usable().filter { it.domain == domain }.map { it.host } + host).distinct()

    /** Publishes the load of [target] to the failure domain. */
    fun publish(target: TargetId, load: TargetLoad): Unit = spread.put(load.toEntry(target))

    /** Publishes the summary of this failure domain, if this host is a relay. */
    fun publish(summary: DomainSummary) {
        if (isRelay()) spread.put(summary.toEntry())
    }

    /** Returns whether [target] accepts new work. */
    fun takesNewWork(target: TargetId): Boolean = presence.takesNewWork(target)

    /** Updates targets and limits from the active document. */
    fun onDocument(view: DocumentView) {
        presence.onDocument(view)
        limitRunner.onDocument(view)
    }

    /** Announces that this host accepts no new work. */
    fun leave(): Unit = presence.leave()

    /** Announces that this process stops. */
    suspend fun end(): Unit = presence.end()

    override fun publish(entry: VersionedSection) {
        val key = EntryKey(EntryKind.SECTION, entry.section)
        val value = EntryBytes.of(entry.value.toByteArray())
        spread.put(Entry(key, entry.version, value, retired = entry.value.isEmpty))
    }

    override fun refused(target: TargetId): Unit = presence.onRefused(target)

    override fun answered(target: TargetId): Unit = presence.onAnswered(target)

    /** Treats hosts unknown to the membership as usable, since they may just have started. */
    private fun isUsable(host: HostId): Boolean {
        val known = presence.hosts
        return host !in known.members &&
            host !in known.unreachable ||
            known.state(host) == MemberState.LIVE &&
            host !in known.unreachable
    }

    private fun seed(address: String): Peer = Peer(HostId(address), domain, settings.host.region)

    /** Returns the address of [host]; the id of a seed peer is its address. */
    private fun addressOf(host: HostId): String? = presence.hosts.members[host]?.address
        ?: directory.address(host)
        ?: host.value.takeIf { it in settings.seedPeersList }

    private inner class Limits : LimitPeers {
        override fun document(): DocumentView = this@EntryPeers.document.view()

        override fun live(): Map<FailureDomainId, List<HostId>> =
            presence.hosts.usable().groupBy({ it.domain }, { it.host })

        override fun addressOf(host: HostId): String? = this@EntryPeers.addressOf(host)
    }

    private inner class Output : SpreadOutput {
        override fun applied(entries: List<Entry>) {
            entries.forEach { entry ->
                when (entry.key.kind) {
                    EntryKind.SECTION -> offer(entry)
                    EntryKind.HOST, EntryKind.TARGET -> presence.onEntry(entry)
                    EntryKind.LOAD ->
                        events.loadArrived(TargetId(entry.key.name), entry.toTargetLoad())
                    EntryKind.DOMAIN_LOAD -> events.summaryArrived(entry.toDomainSummary())
                    else -> Unit
                }
            }
        }

        override fun answered(host: HostId): Unit = presence.onHostAnswered(host)

        override fun failed(host: HostId, refused: Boolean): Unit =
            presence.onHostFailed(host, refused)

        private fun offer(entry: Entry) {
            val value = ByteString.copyFrom(entry.value.toByteArray())
            document.offer(VersionedSection(entry.key.name, entry.version, value))
        }
    }

    /** Closes the peer port and all connections. */
    fun stop() {
        server.stop()
        channels.close()
    }

    private companion object {
        const val BYTES_PER_MIB = 1_048_576L
        val CALL_TIMEOUT = 1.seconds
    }
}
