/** What a host believes, as immutable snapshots. */
package burdockspread.forward.host

import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.DirectoryView

/**
 * One snapshot. The control loop replaces it as a whole; the request loop only reads it.
 *
 * @property current whether the store or a peer has lately confirmed the configuration.
 */
public data class HostView(
    public val catalog: Catalog? = null,
    public val directory: DirectoryView = DirectoryView.EMPTY,
    public val current: Boolean = false,
) {
    /** Whether the host can serve requests. */
    public val serving: Boolean get() = catalog != null && directory.version > 0
}
