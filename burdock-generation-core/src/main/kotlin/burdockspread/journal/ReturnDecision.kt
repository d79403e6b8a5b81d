/** What becomes of a caller that comes back. */
package burdockspread.journal

import burdockspread.error.Refusal
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** What becomes of a caller that comes back. */
public sealed interface ReturnDecision {
    /** This host runs the generation or keeps its answer: the caller reads on from [offset]. */
    public data class AttachHere(public val key: CopyKey, public val offset: Int) : ReturnDecision

    /** The reachable [host] runs the generation or keeps its answer: the caller is passed on. */
    public data class AttachToOwner(
        public val host: HostId,
        public val key: CopyKey,
        public val offset: Int,
    ) : ReturnDecision

    /** The [holder] has the whole answer: the caller reads on from [offset]. */
    public data class Replay(
        public val holder: HostId,
        public val key: CopyKey,
        public val offset: Int,
    ) : ReturnDecision

    /**
     * The owner is out of reach: this host claims the generation at the [holders] with [epoch], and
     * [resolveTakeover] decides by their answers.
     */
    public data class TakeOver(
        public val key: CopyKey,
        public val holders: ImmutableList<HostId>,
        public val epoch: Long,
        public val offset: Int,
    ) : ReturnDecision

    /** Nobody knows the request and the caller holds nothing: it starts like a new one. */
    public data object Begin : ReturnDecision

    /** Continues the caller's generation is impossible: a new generation id, told to the caller. */
    public data object Restart : ReturnDecision

    /** The caller gets no more of its answer here. */
    public data class Refuse(public val refusal: Refusal) : ReturnDecision
}

/** Result of claiming a generation. */
public sealed interface Takeover {
    /** This host goes on with the [copy] under [lineage]; the caller reads on from [offset]. */
    public data class Continue(
        public val copy: JournalCopy,
        public val lineage: Lineage,
        public val offset: Int,
    ) : Takeover

    /** Another host was faster: the caller is passed on to it, or the search begins anew. */
    public data class AttachToOwner(public val host: HostId) : Takeover

    /** No claimed copy continues what the caller holds. */
    public data class Otherwise(public val decision: ReturnDecision) : Takeover
}
