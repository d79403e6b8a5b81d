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
import burdockspread.peer.GossipListener
import burdockspread.peer.GossipRunner
import burdockspread.peer.HostFilter
import burdockspread.peer.JournalClient
import burdockspread.peer.JournalCopyStore
import burdockspread.peer.JournalService
import burdockspread.peer.LimitRunner
import burdockspread.peer.PeerChannels
import burdockspread.peer.PeerCopySender
import burdockspread.peer.PeerDirectory
import burdockspread.peer.PeerGenerationLocator
import burdockspread.peer.PeerLookup
import burdockspread.peer.PeerServer
import burdockspread.peer.PresenceRunner
import burdockspread.peer.applyEach
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
import burdockspread.stream.GenerationLocator
import burdockspread.stream.GenerationSession
import burdockspread.stream.SessionPlanner
import burdockspread.time.TimeSource
import burdockspread.wire.settings.EntrySettings
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Listener for events from other entry hosts. */
internal interface PeerEventListener {
    /** Called when targets became available or unavailable. */
    fun onTargetsChanged()

    /** Called when another host or the platform requests that this host drains. */
    fun onDrainRequested()

    /** Called when another host of the failure domain published the load of [target]. */
    fun onLoadReceived(target: TargetId, load: TargetLoad)

    /** Called when another failure domain published its spare capacity. */
    fun onSummaryReceived(summary: DomainSummary)
}

/** Peer server, clients of other hosts, and journal copies held for them. */
internal class EntryPeers(
    private val settings: EntrySettings,
    private val scope: CoroutineScope,
    private val document: DocumentReplica,
    open: GenerationRegistry<GenerationSession>,
    planner: SessionPlanner,
    time: TimeSource,
    private val events: PeerEventListener,
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
    val heldCopies: JournalCopyStore =
        JournalCopyStore(
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
    val locator: GenerationLocator =
        PeerGenerationLocator(directory, client, heldCopies, planner, journal.copies)

    private val gossip =
        GossipRunner(
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
            gossip,
            time,
            events::onTargetsChanged,
            events::onDrainRequested,
        )
    private val limitRunner =
        LimitRunner(scope, host, domain, LimitPeerLookup(), channels, time, CALL_TIMEOUT)
    private val server =
        PeerServer(
            settings.peerAddress,
            listOf(JournalService(heldCopies, open, time), gossip, limitRunner),
        )

    /** Rate limits of organisations on this host. */
    val limits: OrganisationLimits get() = limitRunner.limits

    /** Current membership as seen by this host. */
    val hosts: MembershipSnapshot get() = presence.hosts

    /** Opens the peer port and joins the gossip. */
    fun start() {
        gossip.listener = GossipHandler()
        server.start()
        scope.launch { gossip.run() }
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
    fun publish(target: TargetId, load: TargetLoad): Unit = gossip.put(load.toEntry(target))

    /** Publishes the summary of this failure domain, if this host is a relay. */
    fun publish(summary: DomainSummary) {
        if (isRelay()) gossip.put(summary.toEntry())
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
        gossip.put(Entry(key, entry.version, value, retired = entry.value.isEmpty))
    }

    override fun onConnectionRefused(target: TargetId): Unit = presence.onTargetRefused(target)

    override fun onResponse(target: TargetId): Unit = presence.onTargetResponded(target)

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

    private inner class LimitPeerLookup : PeerLookup {
        override fun document(): DocumentView = this@EntryPeers.document.view()

        override fun liveHosts(): Map<FailureDomainId, List<HostId>> =
            presence.hosts.usable().groupBy({ it.domain }, { it.host })

        override fun addressOf(host: HostId): String? = this@EntryPeers.addressOf(host)
    }

    private inner class GossipHandler : GossipListener {
        override fun onEntriesApplied(entries: List<Entry>) {
            entries.applyEach { entry ->
                when (entry.key.kind) {
                    EntryKind.SECTION -> offer(entry)
                    EntryKind.HOST, EntryKind.TARGET -> presence.onEntry(entry)
                    EntryKind.LOAD ->
                        events.onLoadReceived(TargetId(entry.key.name), entry.toTargetLoad())
                    EntryKind.DOMAIN_LOAD -> events.onSummaryReceived(entry.toDomainSummary())
                    else -> Unit
                }
            }
        }

        override fun onPeerResponded(host: HostId): Unit = presence.onHostResponded(host)

        override fun onPeerFailed(host: HostId, isRefused: Boolean): Unit =
            presence.onHostFailed(host, isRefused)

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
