/** Immutable snapshots of what a host knows. */
package burdockspread.forward.host

import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.DirectoryView

/**
 * A snapshot. The control loop replaces it as a whole; the request loop only reads it.
 *
 * @property isConfirmed whether the store or a peer has recently confirmed the configuration.
 */
public data class HostView(
    public val catalog: Catalog? = null,
    public val directory: DirectoryView = DirectoryView.EMPTY,
    public val isConfirmed: Boolean = false,
) {
    /** Whether the host can serve requests. */
    public val serving: Boolean get() = catalog != null && directory.version > 0
}
