/** The host's view of all targets, merged from the store's listings, its watch and peers. */
package burdockspread.forward.directory

import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Merges updates of targets. Not thread-safe; [view] returns immutable snapshots.
 *
 * Within one incarnation, draining takes precedence over live. An older incarnation never replaces
 * a newer one. A target that started later at the same address proves that the earlier one is gone.
 * Entries expire during a store outage although their targets are live, so an entry that is missing
 * from a listing is kept as unconfirmed for [reconnectGrace] and removed only then.
 */
public class TargetDirectory(
    private val reconnectGrace: Duration = RECONNECT_GRACE,
    private val listener: DirectoryListener = DirectoryListener { _, _ -> },
) {
    private var records = persistentMapOf<TargetId, TargetRecord>()

    /** Store version up to which the directory is current. */
    public var version: Long = 0
        private set

    /** Replaces the directory by a listing as of [atVersion]; older listings are ignored. */
    public fun onListing(entries: List<TargetEntry>, atVersion: Long, now: Instant) {
        if (atVersion < version) return
        version = atVersion
        val listed = entries.associateBy { it.id }
        listed.values.forEach { merge(it, atVersion) }
        (records.keys - listed.keys).forEach { id -> markUnconfirmed(id, now) }
    }

    /** Applies one changed entry of a watch. */
    public fun onEntry(entry: TargetEntry, atVersion: Long) {
        if (atVersion <= version) return
        version = atVersion
        merge(entry, atVersion)
    }

    /**
     * Applies the changes of a peer whose directory is current as of [atVersion]. A target that is
     * unknown here and not newer than [version] has been removed since and is not added again.
     */
    public fun onChanges(changes: List<TargetChange>, atVersion: Long) {
        changes.forEach { change ->
            val before = records[change.id]
            val entry = change.entry
            when {
                entry == null ->
                    if (before != null && before.asOf <= atVersion) {
                        remove(change.id, DirectoryChange.REMOVED)
                    }
                change.version > version -> merge(entry, change.version)
                before != null && before.asOf <= change.version -> merge(entry, change.version)
            }
        }
        onProgress(atVersion)
    }

    /**
     * Applies the removal of [id]. Within [reconnectGrace] of [reconnectedAt], the instant at which
     * the store came back, the entry may merely have expired and is kept as unconfirmed.
     */
    public fun onRemoved(id: TargetId, atVersion: Long, reconnectedAt: Instant?, now: Instant) {
        if (atVersion <= version) return
        version = atVersion
        val mayHaveExpired = reconnectedAt != null && now - reconnectedAt < reconnectGrace
        if (mayHaveExpired) markUnconfirmed(id, now) else remove(id, DirectoryChange.REMOVED)
    }

    /** Advances the version when the store reports that nothing else has changed. */
    public fun onProgress(atVersion: Long) {
        if (atVersion > version) version = atVersion
    }

    /** Removes entries unconfirmed for [reconnectGrace]; returns whether any were removed. */
    public fun expire(now: Instant): Boolean {
        val gone = records.values.filter {
            it.unconfirmedSince != null && now - it.unconfirmedSince >= reconnectGrace
        }
        gone.forEach { remove(it.entry.id, DirectoryChange.EXPIRED) }
        return gone.isNotEmpty()
    }

    /** Returns all entries for peers, including draining ones. */
    public fun entries(): ImmutableList<TargetEntry> =
        records.values.map { it.entry }.toImmutableList()

    /** Returns the targets that may receive new requests, by service. */
    public fun view(): DirectoryView {
        val usable = records.values.filterNot { it.entry.isDraining }
        val services = usable.groupBy({
            it.entry.service
        }, { ListedTarget(it.entry, it.unconfirmedSince != null) })
        return DirectoryView(
            version,
            services.mapValues {
                it.value.toImmutableList()
            }.toImmutableMap(),
        )
    }

    private fun remove(id: TargetId, change: DirectoryChange) {
        if (id !in records) return
        records = records.remove(id)
        listener.onChange(id, change)
    }

    private fun merge(entry: TargetEntry, atVersion: Long) {
        val before = records[entry.id]?.entry
        if (before != null && before.startedAtMillis > entry.startedAtMillis) return
        records.values.map { it.entry }
            .filter { it.address == entry.address && it.id != entry.id }
            .filter { it.startedAtMillis < entry.startedAtMillis }
            .forEach { remove(it.id, DirectoryChange.REPLACED) }
        val isDraining =
            entry.isDraining || (before?.isSameIncarnation(entry) == true && before.isDraining)
        val known = records[entry.id]
        val next = TargetRecord(entry.copy(isDraining = isDraining), atVersion, null)
        records = records.put(entry.id, next)
        if (known?.entry != next.entry || known.unconfirmedSince != null) {
            listener.onChange(entry.id, DirectoryChange.LISTED)
        }
    }

    private fun markUnconfirmed(id: TargetId, now: Instant) {
        val before = records[id] ?: return
        if (before.unconfirmedSince != null) return
        records = records.put(id, before.copy(unconfirmedSince = now))
        listener.onChange(id, DirectoryChange.UNCONFIRMED)
    }

    /** An entry as of a store version; unconfirmed since [unconfirmedSince], if not null. */
    private data class TargetRecord(
        val entry: TargetEntry,
        val asOf: Long,
        val unconfirmedSince: Instant?,
    )

    public companion object {
        /** Time after the store's return within which expired entries are registered again. */
        public val RECONNECT_GRACE: Duration = 2.seconds
    }
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

/** A target of a view; if [isUnconfirmed], it has been missing from the store since an outage. */
public data class ListedTarget(public val entry: TargetEntry, public val isUnconfirmed: Boolean)
