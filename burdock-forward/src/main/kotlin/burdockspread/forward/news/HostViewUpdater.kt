/** Updates of the configuration and the targets that a host knows. */
package burdockspread.forward.news

import burdockspread.forward.directory.ChangeJournal
import burdockspread.forward.directory.DirectoryChange
import burdockspread.forward.directory.StoreContact
import burdockspread.forward.directory.TargetChange
import burdockspread.forward.directory.TargetDirectory
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.host.Deployment
import burdockspread.forward.host.HostView
import burdockspread.forward.relay.UpdateTiming
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.id.TargetId
import burdockspread.store.KindListener
import burdockspread.store.ListResult
import burdockspread.store.StoredObject
import burdockspread.store.UnreadNames
import burdockspread.store.WatchEvent
import burdockspread.time.TimeSource
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.NewsRequest
import burdockspread.wire.forward.TargetNews
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Merges updates from the store and from peers into a [HostView]. Confined to the control loop;
 * [view] may be read from any thread.
 *
 * Versions never decrease, whatever the source: the store's watches, the relay that this host
 * follows, or any peer if neither is up to date. Each source also states as of when the store
 * confirmed what it tells, so that the age of the view is known.
 */
public class HostViewUpdater(
    private val deployment: Deployment,
    private val clock: TimeSource,
    private val timing: UpdateTiming = UpdateTiming(),
    private val listener: HostViewListener = HostViewListener.NONE,
) : KindListener {
    /** Tells this process from earlier ones of the host. */
    private val processId = Random.nextLong()
    private val directory = TargetDirectory { id, change -> onTargetState(id, change) }
    private val journal = ChangeJournal()

    /** The confirmed entries as stored, by name. */
    private val stored = HashMap<String, StoredObject>()

    /** Names of targets that the last complete list of the store or of a peer passed over. */
    private var unread = UnreadNames.NONE
    private val watchStatuses = HashMap<String, WatchStatus>()
    private val catalogs = CatalogUpdates(deployment, listener)
    private val current = AtomicReference(HostView())
    private val changes = MutableStateFlow(0L)

    /** Changes of [directory] so far, and how many of them [view] shows. */
    private var changeCount = 0L
    private var published = -1L
    private val storeContact = StoreContact(timing.reportInterval)

    /** As of when the store had confirmed the view of the last peer that answered. */
    private var peerHeardAt: Instant = Instant.DISTANT_PAST

    /** Where the update that is being applied comes from. */
    private var source = ""

    /** Why the store does not keep this host up to date, by kind; may be read from any thread. */
    @Volatile
    public var storeProblems: ImmutableMap<String, String> = persistentMapOf()
        private set

    /**
     * Returns the store version up to which this host knows what it uses of [kind], whoever brought
     * it; 0 while that is unknown, and for all kinds but that of the configuration.
     */
    public fun knownVersion(kind: String): StateFlow<Long> =
        if (kind == deployment.catalogKey.kind) catalogs.storeVersion else NEVER_KNOWN

    /** Version of the last configuration that the store itself brought; 0 before the first one. */
    public val catalogFromStore: StateFlow<Long> get() = catalogs.versionFromStore

    /** The latest snapshot. */
    public val view: HostView get() = current.get()

    override fun onListed(kind: String, listed: ListResult.Listed) {
        val now = onWatchActivity(kind, isCurrent = !listed.isCached)
        source = "list"
        listener.onListed(kind, listed)
        if (kind == deployment.targetKind) {
            applyList(listed.objects, listed.version, listed.unread, now)
        } else {
            catalogs.onListed(listed)
        }
        publish(now)
    }

    override fun onPartlyListed(kind: String, listed: ListResult.Partial) {
        source = "list"
        if (kind != deployment.targetKind && catalogs.onPartlyListed(listed)) {
            return publish(onWatchActivity(kind, isCurrent = !listed.isCached))
        }
        if (kind == deployment.targetKind) {
            val now = clock.now()
            if (!listed.isCached) storeContact.onHeard(now)
            val known = directory.confirmed()
            val entries = listed.objects.mapNotNull(::targetOf)
            val present = entries.map { it.id }.toSet()
            val gone = known.filterNot { it.value in listed.unread } - present
            directory.onPartialListing(entries, gone, listed.version, storeContact.keepUntil, now)
            (known - directory.confirmed()).forEach { journal.record(it, listed.version) }
        }
        // Peers are told of nothing until the store lists all.
        onLost(kind, listed.reason)
    }

    override fun onEvent(kind: String, event: WatchEvent) {
        val now = onWatchActivity(kind, isCurrent = true)
        source = "watch"
        when (event) {
            is WatchEvent.Put ->
                if (kind == deployment.targetKind) {
                    onTarget(event.value, now)
                } else {
                    catalogs.onStored(event.value)
                }
            is WatchEvent.Deleted -> onDeleted(event, now)
            is WatchEvent.Progress ->
                if (kind == deployment.targetKind) directory.onProgress(event.version)
            is WatchEvent.Ended -> Unit
        }
        publish(now)
    }

    override fun onWatchEnded(kind: String, reason: String): Unit = onLost(kind, reason)

    override fun onOvertaken(kind: String, version: Long) {
        listener.onWatchOvertaken(kind, version)
        // The store has confirmed to the peer what the watch would have brought.
        watchStatuses[kind]?.let { it.heardAt = maxOf(it.heardAt, peerHeardAt) }
    }

    override fun onUnavailable(kind: String, reason: String) {
        if (kind == deployment.targetKind) storeContact.onFailed(clock.now())
        onLost(kind, reason)
    }

    private fun onLost(kind: String, reason: String) {
        val watchStatus = watchStatuses.getOrPut(kind) { WatchStatus() }
        if (!watchStatus.isLost) listener.onStoreLost(kind, reason)
        watchStatus.isLost = true
        storeProblems = (storeProblems + (kind to reason)).toImmutableMap()
        publish(clock.now())
    }

    /** Called when the host stops watching the store; the state of its watches no longer counts. */
    public fun onDetached() {
        watchStatuses.clear()
        storeProblems = persistentMapOf()
        publish(clock.now())
    }

    /** Returns whether the store itself keeps this host up to date. */
    public fun isFollowingStore(now: Instant): Boolean =
        isWatchCurrent(deployment.catalogKey.kind, now) &&
            isWatchCurrent(deployment.targetKind, now)

    private fun isWatchCurrent(kind: String, now: Instant): Boolean {
        val watchStatus = watchStatuses[kind] ?: return false
        return !watchStatus.isLost && now - watchStatus.heardAt <= timing.maxAge
    }

    /** Returns the time since the store last confirmed the view, directly or through peers. */
    public fun age(now: Instant): Duration = now - heardAt()

    private fun heardAt(): Instant {
        val kinds = listOf(deployment.catalogKey.kind, deployment.targetKind)
        val watchHeardAt = kinds.minOf { watchStatuses[it]?.heardAt ?: Instant.DISTANT_PAST }
        return maxOf(watchHeardAt, peerHeardAt)
    }

    /** Returns this host's request for a peer. */
    public fun request(host: String, address: String): NewsRequest = NewsRequest.newBuilder()
        .setHost(host)
        .setAddress(address)
        .setCatalogVersion(view.catalog?.version ?: 0)
        .setTargetsVersion(directory.version)
        .setRolloutsVersion(view.rolloutsVersion)
        .setAcceptsDeflate(true)
        .setCatalogDigest(catalogs.digest)
        .build()

    /**
     * Waits until this host knows more than [request] states, the store has confirmed its view
     * again since its last reply, it loses the store, or the requested time has passed.
     */
    public suspend fun awaitUpdate(request: NewsRequest) {
        withTimeoutOrNull(request.waitMillis.milliseconds.coerceAtMost(MAX_PEER_WAIT)) {
            changes.first { hasUpdate(request) || !isFollowingStore(clock.now()) }
        }
    }

    private fun hasUpdate(request: NewsRequest): Boolean =
        directory.version > request.targetsVersion ||
            (view.catalog?.version ?: 0) > request.catalogVersion ||
            view.rolloutsVersion > request.rolloutsVersion ||
            request.processId != processId ||
            heardAt().toEpochMilliseconds() > request.heardAtMillis

    /** Returns what this host knows beyond [request], which arrived at [receivedAt]. */
    public fun reply(
        request: NewsRequest,
        receivedAt: Instant,
        peers: Collection<String>,
    ): NewsReply {
        val reply = NewsReply.newBuilder().addAllPeers(peers)
        reply.confirmed = isFollowingStore(clock.now())
        val heardAt = heardAt()
        reply.heardAfterMillis = (heardAt - receivedAt).inWholeMilliseconds
        reply.heardAtMillis = heardAt.toEpochMilliseconds()
        catalogs.addTo(reply, request)
        reply.targetsVersion = directory.version
        reply.processId = processId
        view.rollouts.values.forEach { reply.addRollouts(it.toNews(clock.now())) }
        val changed = journal.changedSince(request.targetsVersion)
        if (changed != null) {
            reply.changesOnly = true
            changed.forEach { (id, version) ->
                reply.addTargets(stored[id.value]?.toNews() ?: removalNews(id, version))
            }
        } else if (directory.version > request.targetsVersion) {
            directory.confirmed().mapNotNull { stored[it.value] }
                .forEach { reply.addTargets(it.toNews()) }
            reply.addAllUnreadTargets(unread.toNews())
        }
        return reply.build()
    }

    /** Applies the reply of [peer] to [request], which was sent at [sentAt]. */
    public fun onReply(peer: String, request: NewsRequest, reply: NewsReply, sentAt: Instant) {
        val now = clock.now()
        source = "peer $peer"
        catalogs.onReply(peer, request, reply)
        val isNewer = reply.targetsVersion > directory.version
        // Changes are incomplete if this host has learned more from elsewhere meanwhile.
        val isOutrun = reply.changesOnly && request.targetsVersion != directory.version
        if (!isNewer || !isOutrun) {
            val heardAt = minOf(now, sentAt + reply.heardAfterMillis.milliseconds)
            peerHeardAt = maxOf(peerHeardAt, heardAt)
            storeContact.onHeard(heardAt)
            if (isNewer) applyTargets(reply, now)
        }
        reply.rolloutsList.mapNotNull { it.toOrder(now) }.forEach(::onRollout)
        publish(now)
    }

    /** Applies the state of a rollout, wherever it comes from. */
    public fun onRollout(read: RolloutOrder) {
        val before = view
        val known = before.rollouts[read.service]
        val next = known?.updatedBy(read) ?: read
        if (next == known) return
        current.set(
            before.copy(rollouts = before.rollouts.toPersistentMap().put(read.service, next)),
        )
        changes.value++
    }

    private fun applyTargets(reply: NewsReply, now: Instant) {
        val (removed, present) = reply.targetsList.partition { it.entry.isEmpty() }
        val objects = present.map { it.toStored(deployment.targetKind) }
        if (reply.changesOnly) {
            onChanges(objects, removed, reply.targetsVersion, now)
        } else {
            applyList(objects, reply.targetsVersion, reply.unreadNames(), now)
        }
    }

    private fun applyList(
        objects: List<StoredObject>,
        version: Long,
        unreadNames: UnreadNames,
        now: Instant,
    ) {
        val before = directory.version
        if (version < before) return
        val known = directory.confirmed()
        val entries = objects.mapNotNull(::targetOf)
        directory.onListing(entries, version, storeContact.keepUntil, now, unreadNames)
        journal.onSkipped(before, version)
        val isCompleted = entries.any { it.id !in known && it.storeVersion <= before }
        if (!unread.isEmpty() && isCompleted) journal.onCompleted(version)
        unread = unreadNames
        objects.filter { it.version > before }
            .forEach { journal.record(TargetId(it.key.name), it.version) }
        (known - directory.confirmed()).forEach { journal.record(it, version) }
    }

    private fun onChanges(
        present: List<StoredObject>,
        removed: List<TargetNews>,
        version: Long,
        now: Instant,
    ) {
        journal.onSkipped(directory.version, version)
        present.forEach { journal.record(TargetId(it.key.name), it.version) }
        removed.forEach { journal.record(TargetId(it.name), it.version) }
        val changes = present.mapNotNull { stored ->
            targetOf(stored)?.let { TargetChange(it.id, it, stored.version) }
        }
        val removals = removed.map { TargetChange(TargetId(it.name), null, it.version) }
        directory.onChanges(changes + removals, version, storeContact.keepUntil, now)
        changes.forEach { change ->
            change.entry?.let { listener.onTargetChanged(it, change.version, source) }
        }
    }

    /** Removes targets that stayed unconfirmed. Called a few times per second. */
    public fun tick() {
        val now = clock.now()
        source = "timer"
        directory.expire(now)
        publish(now)
    }

    private fun onWatchActivity(kind: String, isCurrent: Boolean): Instant {
        val now = clock.now()
        val watchStatus = watchStatuses.getOrPut(kind) { WatchStatus() }
        if (watchStatus.isLost) {
            listener.onStoreReconnected(kind)
            storeProblems = (storeProblems - kind).toImmutableMap()
        }
        watchStatus.isLost = false
        if (!isCurrent) return now
        watchStatus.heardAt = now
        if (kind == deployment.targetKind) storeContact.onHeard(now)
        return now
    }

    private fun onDeleted(event: WatchEvent.Deleted, now: Instant) {
        if (event.key.kind != deployment.targetKind) return
        if (event.version <= directory.version) return
        val id = TargetId(event.key.name)
        journal.record(id, event.version)
        directory.onRemoved(id, event.version, storeContact.keepUntil, now)
    }

    private fun onTargetState(id: TargetId, change: DirectoryChange) {
        changeCount++
        val update = ViewUpdate(directory.version, source, age(clock.now()))
        listener.onTargetState(id, change, update)
    }

    private fun onTarget(value: StoredObject, now: Instant) {
        if (value.version <= directory.version) return
        journal.record(TargetId(value.key.name), value.version)
        val entry = targetOf(value)
        if (entry == null) {
            // An entry that another writer has made unreadable names no usable target.
            directory.onRemoved(TargetId(value.key.name), value.version, now, now)
            return
        }
        if (directory.onEntry(entry, value.version)) {
            listener.onTargetChanged(entry, value.version, source)
        }
    }

    /**
     * Decodes [value] and keeps it for peers; returns null if it names no target, which peers are
     * told like a removal.
     */
    private fun targetOf(value: StoredObject): TargetEntry? {
        val entry = deployment.target(value)
        val before = stored[value.key.name]
        if (before == null || before.version <= value.version) {
            if (entry == null) stored.remove(value.key.name) else stored[value.key.name] = value
        }
        if (entry == null) listener.onEntryIgnored(value.key.kind)
        return entry
    }

    private fun publish(now: Instant) {
        val before = view
        val isUnchanged = changeCount == published
        val targets = if (isUnchanged) before.directory else directory.view()
        val direct = isWatchCurrent(deployment.catalogKey.kind, now)
        val isConfirmed = direct || now - peerHeardAt <= timing.maxAge
        val catalog = catalogs.current
        current.set(before.copy(catalog, targets, isConfirmed))
        if (!isUnchanged) stored.keys.retainAll(directory.confirmed().map { it.value }.toSet())
        published = changeCount
        changes.value++
    }

    private class WatchStatus {
        var isLost = false
        var heardAt: Instant = Instant.DISTANT_PAST
    }

    private companion object {
        val NEVER_KNOWN = MutableStateFlow(0L)

        /** Maximum time for which a peer may wait, whatever it requests. */
        val MAX_PEER_WAIT = 5_000.milliseconds
    }
}
