/** Listener for changes of a host's view. */
package burdockspread.forward.news

import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.DirectoryChange
import burdockspread.forward.directory.TargetEntry
import burdockspread.id.TargetId
import burdockspread.store.ListResult
import kotlin.time.Duration

/** Receives changes of the host's view, for logs and metrics. */
public interface HostViewListener {
    public fun onCatalogChanged(catalog: Catalog, transfer: CatalogTransfer) {}

    public fun onCatalogUnreadable(version: Long, reason: String) {}

    /** Called when the store has listed all objects of [kind]. */
    public fun onListed(kind: String, listed: ListResult.Listed) {}

    /** Called when [source] brought a change of a target, see [ViewUpdate.source]. */
    public fun onTargetChanged(entry: TargetEntry, version: Long, source: String) {}

    /** Called for an entry of [kind] that names no usable target. */
    public fun onEntryIgnored(kind: String) {}

    public fun onTargetState(id: TargetId, change: DirectoryChange, update: ViewUpdate) {}

    /** Called when a watch of [kind] begins anew from [version], which a peer brought earlier. */
    public fun onWatchOvertaken(kind: String, version: Long) {}

    public fun onStoreLost(kind: String, reason: String) {}

    public fun onStoreReconnected(kind: String) {}

    public companion object {
        /** A listener that does nothing. */
        public val NONE: HostViewListener = object : HostViewListener {}
    }
}

/**
 * How a configuration came to this host.
 *
 * @property source [STORE] or [PEER].
 * @property form `text`, `deflated` or `delta`.
 * @property size length in that form, in bytes or, for a text, characters.
 */
public data class CatalogTransfer(
    public val source: String,
    public val form: String,
    public val size: Int,
) {
    public companion object {
        public const val STORE: String = "store"
        public const val PEER: String = "peer"
    }
}

/**
 * The update that changed a host's view.
 *
 * @property version store version up to which the view is current.
 * @property source `list`, `watch`, `timer`, or `peer` with its address.
 * @property age time since the store or an up-to-date peer had last confirmed the view.
 */
public data class ViewUpdate(
    public val version: Long,
    public val source: String,
    public val age: Duration,
)
