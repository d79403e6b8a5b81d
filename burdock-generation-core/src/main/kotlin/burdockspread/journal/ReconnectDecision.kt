/** What becomes of a caller that comes back. */
package burdockspread.journal

import burdockspread.error.Refusal
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** What becomes of a caller that comes back. */
public sealed interface ReconnectDecision {
    /** This host runs the generation or keeps its answer: the caller reads on from [offset]. */
    public data class AttachHere(public val key: CopyKey, public val offset: Int) :
        ReconnectDecision

    /** The reachable [host] runs the generation or keeps its answer: the caller is passed on. */
    public data class AttachToOwner(
        public val host: HostId,
        public val key: CopyKey,
        public val offset: Int,
    ) : ReconnectDecision

    /** The [holder] has the whole answer: the caller reads on from [offset]. */
    public data class Replay(
        public val holder: HostId,
        public val key: CopyKey,
        public val offset: Int,
    ) : ReconnectDecision

    /**
     * The owner is out of reach: this host claims the generation at the [holders] with [epoch], and
     * [resolveTakeover] decides by their answers.
     */
    public data class TakeOver(
        public val key: CopyKey,
        public val holders: ImmutableList<HostId>,
        public val epoch: Long,
        public val offset: Int,
    ) : ReconnectDecision

    /** Nobody knows the request and the caller holds nothing: it starts like a new one. */
    public data object StartNew : ReconnectDecision

    /** Continues the caller's generation is impossible: a new generation id, told to the caller. */
    public data object Restart : ReconnectDecision

    /** The caller gets no more of its answer here. */
    public data class Refuse(public val refusal: Refusal) : ReconnectDecision
}

/** Result of claiming a generation. */
public sealed interface TakeoverResult {
    /** This host goes on with the [copy] under [lineage]; the caller reads on from [offset]. */
    public data class Continue(
        public val copy: JournalCopy,
        public val lineage: Lineage,
        public val offset: Int,
    ) : TakeoverResult

    /** Another host was faster: the caller is passed on to it, or the search begins anew. */
    public data class AttachToOwner(public val host: HostId) : TakeoverResult

    /** No claimed copy continues what the caller holds. */
    public data class Fallback(public val decision: ReconnectDecision) : TakeoverResult
}
