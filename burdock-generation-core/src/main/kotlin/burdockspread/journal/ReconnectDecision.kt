/** Decisions for reconnecting callers. */
package burdockspread.journal

import burdockspread.error.Refusal
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** How to proceed with a reconnecting caller. */
public sealed interface ReconnectDecision {
    /** This host runs the generation or keeps its answer: the caller continues at [offset]. */
    public data class AttachHere(public val key: CopyKey, public val offset: Int) :
        ReconnectDecision

    /**
     * The reachable [host] runs the generation or keeps its answer: the caller is forwarded to it.
     */
    public data class AttachToOwner(
        public val host: HostId,
        public val key: CopyKey,
        public val offset: Int,
    ) : ReconnectDecision

    /** The [holder] has the whole answer: the caller continues at [offset]. */
    public data class Replay(
        public val holder: HostId,
        public val key: CopyKey,
        public val offset: Int,
    ) : ReconnectDecision

    /**
     * The owner is unreachable: this host claims the generation at the [holders] with [epoch], and
     * [resolveTakeover] decides by their answers.
     */
    public data class TakeOver(
        public val key: CopyKey,
        public val holders: ImmutableList<HostId>,
        public val epoch: Long,
        public val offset: Int,
    ) : ReconnectDecision

    /** No host knows the request and the caller holds nothing: it is served like a new request. */
    public data object StartNew : ReconnectDecision

    /**
     * The caller's generation cannot be continued: it gets a new generation id, which it is told.
     */
    public data object Restart : ReconnectDecision

    /** The caller gets no more of its answer from this host. */
    public data class Refuse(public val refusal: Refusal) : ReconnectDecision
}

/** Result of claiming a generation. */
public sealed interface TakeoverResult {
    /** This host continues the [copy] under [lineage]; the caller continues at [offset]. */
    public data class TakenOver(
        public val copy: JournalCopy,
        public val lineage: Lineage,
        public val offset: Int,
    ) : TakeoverResult

    /** Another host claimed it first: the caller is forwarded to it, or the lookup is repeated. */
    public data class AttachToOwner(public val host: HostId) : TakeoverResult

    /** No claimed copy continues what the caller holds. */
    public data class Fallback(public val decision: ReconnectDecision) : TakeoverResult
}
