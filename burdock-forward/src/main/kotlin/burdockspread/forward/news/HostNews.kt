/** Brings the configuration and the targets of a host up to date. */
package burdockspread.forward.news

import arrow.core.Either
import burdockspread.forward.directory.ChangeJournal
import burdockspread.forward.directory.TargetChange
import burdockspread.forward.directory.TargetDirectory
import burdockspread.forward.host.Deployment
import burdockspread.forward.host.HostView
import burdockspread.id.TargetId
import burdockspread.store.KindListener
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.time.TimeSource
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.NewsRequest
import burdockspread.wire.forward.TargetNews
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Merges what the store and peers tell. To be used from the control loop; [view] may be read from
 * any thread.
 *
 * Versions only rise, whoever brings them: the store's own watches, the relay that this host
 * follows, or, when neither keeps it up to date, any peer.
 */
public class HostNews(
    private val deployment: Deployment,
    private val clock: TimeSource,
    private val listener: NewsListener = NewsListener.NONE,
) : KindListener {
    private val journal = ChangeJournal(Random.nextLong())
    private val directory = TargetDirectory(onChanged = journal::record)
    private val stored = HashMap<String, StoredObject>()
    private val contacts = HashMap<String, Contact>()
    private var catalogText = ""
    private val current = AtomicReference(HostView())
    private val changes = MutableStateFlow(0L)
    private var published = -1L
    private var confirmedAt: Instant = Instant.DISTANT_PAST

    /** The newest snapshot. */
    public val view: HostView get() = current.get()

    override fun onListed(kind: String, listed: ListResult.Listed) {
        val now = heard(kind)
        if (kind == deployment.targetKind) {
            listed.objects.forEach(::keep)
            directory.onListing(listed.objects.mapNotNull(deployment::target), listed.version, now)
        } else {
            listed.objects.firstOrNull { it.key == deployment.catalogKey }?.let(::onCatalog)
        }
        publish(now)
    }

    override fun onEvent(kind: String, event: WatchEvent) {
        val now = heard(kind)
        when (event) {
            is WatchEvent.Put ->
                if (kind == deployment.targetKind) onTarget(event.value) else onCatalog(event.value)
            is WatchEvent.Deleted -> onDeleted(event, now)
            is WatchEvent.Progress ->
                if (kind == deployment.targetKind) directory.onProgress(event.version)
            is WatchEvent.Ended -> Unit
        }
        publish(now)
    }

    override fun onUnavailable(kind: String, reason: String) {
        val contact = contacts.getOrPut(kind) { Contact() }
        if (!contact.lost) listener.onStoreLost(kind, reason)
        contact.lost = true
        publish(clock.now())
    }

    /** The host no longer watches the store; what it heard so far says nothing from now on. */
    public fun onDetached() {
        contacts.clear()
        publish(clock.now())
    }

    /** Whether the store itself keeps this host up to date. */
    public fun watches(now: Instant): Boolean =
        inTouch(deployment.catalogKey.kind, now) && inTouch(deployment.targetKind, now)

    private fun inTouch(kind: String, now: Instant): Boolean {
        val contact = contacts[kind] ?: return false
        return !contact.lost && now - contact.heardAt <= SILENCE
    }

    private fun confirmed(now: Instant): Boolean = now - confirmedAt < CONFIRMED

    /** What this host asks of a peer. */
    public fun request(host: String, address: String): NewsRequest = NewsRequest.newBuilder()
        .setHost(host)
        .setAddress(address)
        .setCatalogVersion(view.catalog?.version ?: 0)
        .setTargetsVersion(directory.version)
        .build()

    /**
     * Waits until this host knows more than [request] says, is no longer kept up to date by the
     * store, or the time that the request allows has passed.
     */
    public suspend fun awaitNews(request: NewsRequest) {
        withTimeoutOrNull(request.waitMillis.milliseconds.coerceAtMost(MOST_WAIT)) {
            changes.first { isNews(request) || !watches(clock.now()) }
        }
    }

    private fun isNews(request: NewsRequest): Boolean {
        val targets = journal.since(request.journalId, request.journalPosition)
        val newer = targets?.isNotEmpty() ?: (directory.version > request.targetsVersion)
        return newer || (view.catalog?.version ?: 0) > request.catalogVersion
    }

    /** What this host knows beyond [request]. */
    public fun reply(request: NewsRequest, peers: Collection<String>): NewsReply {
        val reply = NewsReply.newBuilder().addAllPeers(peers)
        reply.confirmed = watches(clock.now())
        val version = view.catalog?.version ?: 0
        reply.catalogVersion = version
        if (version > request.catalogVersion) reply.catalog = catalogText
        reply.targetsVersion = directory.version
        reply.journalId = journal.id
        reply.journalPosition = journal.position
        val changed = journal.since(request.journalId, request.journalPosition)
        if (changed != null) {
            reply.changesOnly = true
            changed.forEach { reply.addTargets(change(it)) }
        } else if (directory.version > request.targetsVersion) {
            directory.entries().mapNotNull { stored[it.id.value] }
                .forEach { reply.addTargets(news(it)) }
        }
        return reply.build()
    }

    /** Takes a peer's answer. [confirmed]: the peer itself is in touch with the store. */
    public fun onReply(reply: NewsReply, confirmed: Boolean) {
        val now = clock.now()
        if (reply.catalog.isNotEmpty()) takeCatalog(reply.catalog, reply.catalogVersion, "peer")
        val (gone, there) = reply.targetsList.partition { it.entry.isEmpty() }
        val objects = there.map(::storedTarget)
        objects.forEach(::keep)
        if (reply.changesOnly) {
            onChanges(objects, gone, reply.targetsVersion)
        } else if (objects.isNotEmpty()) {
            directory.onListing(objects.mapNotNull(deployment::target), reply.targetsVersion, now)
        }
        if (confirmed) confirmedAt = now
        publish(now)
    }

    private fun onChanges(there: List<StoredObject>, gone: List<TargetNews>, at: Long) {
        val changes = there.mapNotNull { stored ->
            deployment.target(stored)?.let { TargetChange(it.id, it, stored.version) }
        }
        val removals = gone.map { TargetChange(TargetId(it.name), null, it.version) }
        directory.onChanges(changes + removals, at)
        changes.forEach { change -> change.entry?.let { listener.onTarget(it, change.version) } }
        removals.forEach { listener.onTargetGone(it.id.value, it.version) }
    }

    /** Drops targets that stayed missing; to be called a few times a second. */
    public fun tick() {
        val now = clock.now()
        directory.expire(now)
        publish(now)
    }

    private fun heard(kind: String): Instant {
        val now = clock.now()
        val contact = contacts.getOrPut(kind) { Contact() }
        if (contact.lost) {
            contact.regainedAt = now
            listener.onStoreRegained(kind)
        }
        contact.lost = false
        contact.heardAt = now
        return now
    }

    private fun onDeleted(event: WatchEvent.Deleted, now: Instant) {
        if (event.key.kind != deployment.targetKind) return
        val regained = contacts[event.key.kind]?.regainedAt
        val id = TargetId(event.key.name)
        directory.onRemoved(id, event.version, regained, now)
        listener.onTargetGone(event.key.name, event.version)
    }

    private fun onTarget(value: StoredObject) {
        keep(value)
        val entry = deployment.target(value) ?: return directory.onProgress(value.version)
        directory.onEntry(entry, value.version)
        listener.onTarget(entry, value.version)
    }

    private fun keep(value: StoredObject) {
        val before = stored[value.key.name]
        if (before == null || before.version <= value.version) stored[value.key.name] = value
    }

    private fun onCatalog(value: StoredObject) {
        if (value.key == deployment.catalogKey) takeCatalog(value.value, value.version, "store")
    }

    private fun takeCatalog(text: String, storeVersion: Long, source: String) {
        when (val read = deployment.catalog(text)) {
            is Either.Left -> listener.onCatalogUnreadable(storeVersion, read.value)
            is Either.Right -> {
                val held = view.catalog?.version ?: -1
                if (read.value.version <= held) return
                catalogText = text
                current.set(view.copy(catalog = read.value))
                listener.onCatalog(read.value, source)
            }
        }
    }

    private fun publish(now: Instant) {
        val before = view
        val same = journal.position == published
        val targets = if (same) before.directory else directory.view()
        val direct = inTouch(deployment.catalogKey.kind, now)
        current.set(before.copy(directory = targets, current = direct || confirmed(now)))
        if (!same) stored.keys.retainAll(directory.entries().map { it.id.value }.toSet())
        published = journal.position
        changes.value++
    }

    private fun change(id: TargetId): TargetNews = stored[id.value]?.let(::news)
        ?: TargetNews.newBuilder().setName(id.value).setVersion(directory.version).build()

    private fun news(value: StoredObject): TargetNews = TargetNews.newBuilder()
        .setName(value.key.name)
        .setEntry(value.value)
        .setVersion(value.version)
        .build()

    private fun storedTarget(news: TargetNews): StoredObject =
        StoredObject(ObjectKey(deployment.targetKind, news.name), news.version, "", news.entry)

    private class Contact {
        var lost = false
        var heardAt: Instant = Instant.DISTANT_PAST
        var regainedAt: Instant? = null
    }

    public companion object {
        /** Longest wait of a watch; the store answers then even if nothing changed. */
        public val WATCH_WAIT: Duration = 2_500.milliseconds

        /** Time without an answer after which the store counts as silent: a watch and its way. */
        private val SILENCE = WATCH_WAIT + 700.milliseconds

        /** Longest time for which a peer may wait, whatever it asks for. */
        private val MOST_WAIT = 5_000.milliseconds

        /** Time for which a peer's word holds: a follower's question and its way. */
        private val CONFIRMED = 1_200.milliseconds
    }
}
