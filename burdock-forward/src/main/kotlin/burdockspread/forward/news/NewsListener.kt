/** Observes what a host believes. */
package burdockspread.forward.news

import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry

/** Observes changes of what the host believes. */
public interface NewsListener {
    public fun onCatalog(catalog: Catalog, source: String) {}

    public fun onCatalogUnreadable(version: Long, reason: String) {}

    public fun onTarget(entry: TargetEntry, version: Long) {}

    public fun onTargetGone(name: String, version: Long) {}

    public fun onStoreLost(kind: String, reason: String) {}

    public fun onStoreRegained(kind: String) {}

    public companion object {
        /** Observes nothing. */
        public val NONE: NewsListener = object : NewsListener {}
    }
}
