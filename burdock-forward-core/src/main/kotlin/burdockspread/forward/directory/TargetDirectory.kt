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
 * Merges news of targets. Not thread-safe; [view] returns immutable snapshots.
 *
 * Leaving beats live within one incarnation, and an older incarnation never replaces a newer one.
 * A target that started later at the same address proves that the earlier one is gone.
 * Entries lapse while the store is away although their targets live; so what a listing after an
 * outage lacks is kept as doubtful for [regainGrace] and is gone only then.
 */
public class TargetDirectory(
    private val regainGrace: Duration = REGAIN_GRACE,
    private val onChanged: (TargetId) -> Unit = {},
) {
    private var held = persistentMapOf<TargetId, Held>()

    /** Store version up to which the directory knows the targets. */
    public var version: Long = 0
        private set

    /** Replaces the directory by a listing as of [at]; older listings are ignored. */
    public fun onListing(entries: List<TargetEntry>, at: Long, now: Instant) {
        if (at < version) return
        version = at
        val listed = entries.associateBy { it.id }
        listed.values.forEach { merge(it, at) }
        (held.keys - listed.keys).forEach { id -> doubt(id, now) }
    }

    /** Takes one changed entry of a watch. */
    public fun onEntry(entry: TargetEntry, at: Long) {
        if (at <= version) return
        version = at
        merge(entry, at)
    }

    /**
     * Takes what changed in the directory of a peer that knows the targets as of [at]. A target
     * that is not held and is no newer than [version] has gone since, and does not come back.
     */
    public fun onChanges(changes: List<TargetChange>, at: Long) {
        changes.forEach { change ->
            val before = held[change.id]
            val entry = change.entry
            when {
                entry == null -> if (before != null && before.asOf <= at) remove(change.id)
                change.version > version -> merge(entry, change.version)
                before != null && before.asOf <= change.version -> merge(entry, change.version)
            }
        }
        onProgress(at)
    }

    /**
     * Takes the removal of [id]. Within [regainGrace] of [regainedAt], the instant at which the
     * store came back, the entry may only have lapsed and is kept as doubtful.
     */
    public fun onRemoved(id: TargetId, at: Long, regainedAt: Instant?, now: Instant) {
        if (at <= version) return
        version = at
        val lapsed = regainedAt != null && now - regainedAt < regainGrace
        if (lapsed) doubt(id, now) else remove(id)
    }

    /** Advances the version when the store tells that nothing else has changed. */
    public fun onProgress(at: Long) {
        if (at > version) version = at
    }

    /** Drops what has been missing for [regainGrace]; true if that changed the directory. */
    public fun expire(now: Instant): Boolean {
        val gone = held.values.filter {
            it.doubtSince != null && now - it.doubtSince >= regainGrace
        }
        gone.forEach { remove(it.entry.id) }
        return gone.isNotEmpty()
    }

    /** All entries, leaving ones included, for peers. */
    public fun entries(): ImmutableList<TargetEntry> =
        held.values.map { it.entry }.toImmutableList()

    /** The targets that may get new work, by service. */
    public fun view(): DirectoryView {
        val usable = held.values.filterNot { it.entry.leaving }
        val services = usable.groupBy({
            it.entry.service
        }, { ListedTarget(it.entry, it.doubtSince != null) })
        return DirectoryView(
            version,
            services.mapValues {
                it.value.toImmutableList()
            }.toImmutableMap(),
        )
    }

    private fun remove(id: TargetId) {
        if (id !in held) return
        held = held.remove(id)
        onChanged(id)
    }

    private fun merge(entry: TargetEntry, at: Long) {
        val before = held[entry.id]?.entry
        if (before != null && before.bornMillis > entry.bornMillis) return
        held.values.map { it.entry }
            .filter { it.address == entry.address && it.id != entry.id }
            .filter { it.bornMillis < entry.bornMillis }
            .forEach { remove(it.id) }
        val leaving = entry.leaving || (before?.sameIncarnation(entry) == true && before.leaving)
        val known = held[entry.id]
        val next = Held(entry.copy(leaving = leaving), at, null)
        held = held.put(entry.id, next)
        if (known?.entry != next.entry || known.doubtSince != null) onChanged(entry.id)
    }

    private fun doubt(id: TargetId, now: Instant) {
        val before = held[id] ?: return
        if (before.doubtSince != null) return
        held = held.put(id, before.copy(doubtSince = now))
        onChanged(id)
    }

    /** An entry as of a store version; doubtful since [doubtSince], if at all. */
    private data class Held(val entry: TargetEntry, val asOf: Long, val doubtSince: Instant?)

    public companion object {
        /** Time after the store's return within which lapsed entries are back. */
        public val REGAIN_GRACE: Duration = 2.seconds
    }
}

/**
 * Targets that may get new work.
 *
 * @property version store version that the view rests on.
 */
public class DirectoryView(
    public val version: Long,
    public val services: ImmutableMap<ServiceId, ImmutableList<ListedTarget>>,
) {
    public companion object {
        /** Knows no target. */
        public val EMPTY: DirectoryView = DirectoryView(0, persistentMapOf())
    }
}

/** A target that changed at a store version; without [entry] it is gone. */
public data class TargetChange(
    public val id: TargetId,
    public val entry: TargetEntry?,
    public val version: Long,
)

/** A target of a view; a [isUnconfirmed] one is missing from the store since an outage. */
public data class ListedTarget(public val entry: TargetEntry, public val isUnconfirmed: Boolean)
