/** Results of looking up the generation of a request on a host. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.HostId

/** One result of a lookup. */
public sealed interface LookupResult {
    /** The host that was queried. */
    public val host: HostId

    /** The host runs the generation or keeps its finished answer. */
    public data class Running(
        override val host: HostId,
        public val key: CopyKey,
        public val lineage: Lineage,
        public val length: Int,
        public val finish: FinishReason?,
    ) : LookupResult

    /** The host holds a copy. */
    public data class Copy(override val host: HostId, public val head: CopyHead) : LookupResult

    /** The host does not know the request. */
    public data class NotFound(override val host: HostId) : LookupResult

    /** The host did not answer. */
    public data class Unreachable(override val host: HostId) : LookupResult
}
