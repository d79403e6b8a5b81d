/** The host's view of all targets, merged from the store's listings, its watch and peers. */
package burdockspread.forward.directory

import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.store.UnreadNames
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlin.time.Instant

/**
 * Merges updates of targets. Not thread-safe; [view] returns immutable snapshots.
 *
 * Within one incarnation, draining takes precedence over live. An older incarnation never replaces
 * a newer one, unless the entry was removed in between. A target that started later at the same
 * address proves that the earlier one is gone.
 *
 * Entries expire during a store outage although their targets are live, so for a while after an
 * outage missing entries are kept as unconfirmed (see [StoreContact]). This is the host's own
 * judgement and not told to peers, for which an unconfirmed entry is removed.
 */
public class TargetDirectory(
    private val listener: DirectoryListener = DirectoryListener { _, _ -> },
) {
    private var records = persistentMapOf<TargetId, TargetRecord>()

    /** Store version up to which the directory is current. */
    public var version: Long = 0
        private set

    /**
     * Replaces the directory by a listing as of [atVersion]; older listings are ignored. Entries
     * that are missing from it are kept as unconfirmed until [keepUntil], unless they were added
     * later or their names are [unread]. The listing may contain changes that are newer than
     * [atVersion].
     */
    public fun onListing(
        entries: List<TargetEntry>,
        atVersion: Long,
        keepUntil: Instant,
        now: Instant,
        unread: UnreadNames = UnreadNames.NONE,
    ) {
        if (atVersion < version) return
        version = atVersion
        val listed = entries.associateBy { it.id }
        listed.values.forEach { merge(it, maxOf(atVersion, it.storeVersion)) }
        (records.keys - listed.keys).filterNot { it.value in unread }
            .forEach { id -> onMissing(id, atVersion, keepUntil, now) }
    }

    /**
     * Adds the entries of a listing as of [atVersion] that lacks its end, and handles those that it
     * shows to be [gone] like [onListing]. [version] stays, since other entries may have changed.
     */
    public fun onPartialListing(
        entries: List<TargetEntry>,
        gone: Collection<TargetId>,
        atVersion: Long,
        keepUntil: Instant,
        now: Instant,
    ) {
        if (atVersion < version) return
        entries.forEach { merge(it, maxOf(atVersion, it.storeVersion)) }
        gone.forEach { onMissing(it, atVersion, keepUntil, now) }
    }

    /** Applies one changed entry of a watch; returns false if a newer state of it is known. */
    public fun onEntry(entry: TargetEntry, atVersion: Long): Boolean {
        if (atVersion <= version) return false
        version = atVersion
        return merge(entry, atVersion)
    }

    /**
     * Applies the changes of a peer whose directory is current as of [atVersion]. An entry that is
     * missing here and not newer than [version] has been removed since and is not added again.
     */
    public fun onChanges(
        changes: List<TargetChange>,
        atVersion: Long,
        keepUntil: Instant,
        now: Instant,
    ) {
        changes.forEach { change ->
            val before = records[change.id]
            val entry = change.entry
            when {
                entry == null -> onMissing(change.id, atVersion, keepUntil, now)
                change.version > version -> merge(entry, change.version)
                before == null || before.keptUntil != null -> Unit
                before.asOf <= change.version -> merge(entry, change.version)
            }
        }
        onProgress(atVersion)
    }

    /**
     * Applies the removal of [id], unless the target is known to have registered again since; the
     * entry is kept as unconfirmed until [keepUntil].
     */
    public fun onRemoved(id: TargetId, atVersion: Long, keepUntil: Instant, now: Instant) {
        if (atVersion <= version) return
        version = atVersion
        onMissing(id, atVersion, keepUntil, now)
    }

    /** Advances the version when the store reports that nothing else has changed. */
    public fun onProgress(atVersion: Long) {
        if (atVersion > version) version = atVersion
    }

    /** Removes entries that are no longer kept; returns whether any were removed. */
    public fun expire(now: Instant): Boolean {
        val gone = records.values.filter { it.keptUntil != null && now >= it.keptUntil }
        gone.forEach { remove(it.entry.id, DirectoryChange.EXPIRED) }
        return gone.isNotEmpty()
    }

    /** Returns the confirmed entries, including draining ones. */
    public fun confirmed(): ImmutableSet<TargetId> =
        records.values.filter { it.keptUntil == null }.map { it.entry.id }.toImmutableSet()

    /** Returns the targets that may receive new requests, by service. */
    public fun view(): DirectoryView {
        val usable = records.values.filterNot { it.entry.isDraining }
        val services = usable.groupBy { it.entry.service }.mapValues { (_, records) ->
            records.map { ListedTarget(it.entry, it.keptUntil) }.toImmutableList()
        }
        return DirectoryView(version, services.toImmutableMap())
    }

    private fun remove(id: TargetId, change: DirectoryChange) {
        if (id !in records) return
        records = records.remove(id)
        listener.onChange(id, change)
    }

    /** Applies [entry] as of [atVersion]; returns false if it is outdated. */
    private fun merge(entry: TargetEntry, atVersion: Long): Boolean {
        val known = records[entry.id]
        if (known != null && known.asOf > atVersion) return false
        val before = known?.entry
        if (before != null && entry.isLateReport(before)) return false
        records.values.map { it.entry }
            .filter { it.address == entry.address && it.id != entry.id }
            .filter { it.startedAtMillis < entry.startedAtMillis }
            .forEach { remove(it.id, DirectoryChange.REPLACED) }
        val isDraining =
            entry.isDraining || (before?.isSameIncarnation(entry) == true && before.isDraining)
        val next = TargetRecord(entry.copy(isDraining = isDraining), atVersion, null)
        records = records.put(entry.id, next)
        if (known?.entry != next.entry || known.keptUntil != null) {
            listener.onChange(entry.id, DirectoryChange.LISTED)
        }
        return true
    }

    /**
     * Whether an earlier incarnation than that of [known] wrote this entry. After a removal the
     * start counts for nothing, since the target's clock may have been set back.
     */
    private fun TargetEntry.isLateReport(known: TargetEntry) =
        startedAtMillis < known.startedAtMillis && created == known.created

    /** Handles that [id] was not registered as of [atVersion]. */
    private fun onMissing(id: TargetId, atVersion: Long, keepUntil: Instant, now: Instant) {
        val before = records[id] ?: return
        if (before.asOf > atVersion) return
        if (now >= keepUntil) return remove(id, DirectoryChange.REMOVED)
        if (before.keptUntil != null) return
        records = records.put(id, before.copy(keptUntil = keepUntil))
        listener.onChange(id, DirectoryChange.UNCONFIRMED)
    }

    /** An entry as last confirmed at [asOf]; if unconfirmed, it is removed at [keptUntil]. */
    private data class TargetRecord(
        val entry: TargetEntry,
        val asOf: Long,
        val keptUntil: Instant?,
    )
}

/** Receives the changes of a [TargetDirectory]. */
public fun interface DirectoryListener {
    public fun onChange(id: TargetId, change: DirectoryChange)
}

/** What happened to a target in a [TargetDirectory]. */
public enum class DirectoryChange {
    /** The entry is new, has changed, or is confirmed again. */
    LISTED,

    /** The entry is missing from the store, perhaps only because of an outage. */
    UNCONFIRMED,

    /** The store or a peer reported the removal. */
    REMOVED,

    /** The entry stayed unconfirmed for the whole grace period. */
    EXPIRED,

    /** Another target uses the address. */
    REPLACED,
}

/**
 * Targets that may receive new requests.
 *
 * @property version store version that the view is based on.
 */
public class DirectoryView(
    public val version: Long,
    public val services: ImmutableMap<ServiceId, ImmutableList<ListedTarget>>,
) {
    public companion object {
        /** A view without targets. */
        public val EMPTY: DirectoryView = DirectoryView(0, persistentMapOf())
    }
}

/** A target that changed at a store version; it was removed if [entry] is null. */
public data class TargetChange(
    public val id: TargetId,
    public val entry: TargetEntry?,
    public val version: Long,
)

/**
 * A target of a view.
 *
 * @property unconfirmedUntil if not null, the entry has been missing from the store since an
 * outage, and the target must not be used from then on.
 */
public data class ListedTarget(
    public val entry: TargetEntry,
    public val unconfirmedUntil: Instant? = null,
)
