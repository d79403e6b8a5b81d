/** Listener for changes of a host's view. */
package burdockspread.forward.news

import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry

/** Receives changes of the host's view, for logs and metrics. */
public interface HostViewListener {
    public fun onCatalogChanged(catalog: Catalog, source: String) {}

    public fun onCatalogUnreadable(version: Long, reason: String) {}

    public fun onTargetChanged(entry: TargetEntry, version: Long) {}

    public fun onTargetGone(name: String, version: Long) {}

    public fun onStoreLost(kind: String, reason: String) {}

    public fun onStoreReconnected(kind: String) {}

    public companion object {
        /** A listener that does nothing. */
        public val NONE: HostViewListener = object : HostViewListener {}
    }
}
