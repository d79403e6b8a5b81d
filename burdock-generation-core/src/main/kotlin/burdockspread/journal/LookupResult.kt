/** What a host found out about a request while it looked for its generation. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.HostId

/** One finding about a request. */
public sealed interface LookupResult {
    /** The host that was asked. */
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

    /** The host knows nothing of the request. */
    public data class NotFound(override val host: HostId) : LookupResult

    /** The host did not answer. */
    public data class Unreachable(override val host: HostId) : LookupResult
}
