/** Stateless rules for reconnecting callers. */
package burdockspread.journal

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlin.time.Duration.Companion.seconds

/**
 * Returns hosts that may run the caller's generation and are not among the [results] yet. They are
 * queried before [decideReconnect], because a reachable owner takes precedence over a takeover.
 */
public fun ownersToQuery(
    caller: ReconnectingCaller,
    results: List<LookupResult>,
): ImmutableSet<HostId> {
    val copyOwners = results.filterIsInstance<LookupResult.Copy>().map { it.head.owner.host }
    val queriedHosts = results.map { it.host }.toSet()
    return (listOfNotNull(caller.last?.branch?.host) + copyOwners - queriedHosts).toPersistentSet()
}

/**
 * Decides on host [self] how to proceed with a reconnecting caller, given the lookup [results].
 *
 * A caller is continued only from a journal that holds what the caller holds, so two continuations
 * are never mixed, however many there are.
 */
public fun decideReconnect(
    caller: ReconnectingCaller,
    self: HostId,
    results: List<LookupResult>,
): ReconnectDecision {
    val running = results.filterIsInstance<LookupResult.Running>()
        .filter { caller.canContinueFrom(it.key, it.lineage, it.length) }
        .sortedWith(compareBy({ it.lineage.current }, { it.length }))
    val copies = results.filterIsInstance<LookupResult.Copy>()
        .filter { caller.canContinueFrom(it.head.key, it.head.lineage, it.head.length) }
        .sortedWith(compareBy({ it.head.lineage.current }, { it.head.length }))
    running.lastOrNull { it.host == self }?.let {
        return ReconnectDecision.AttachHere(it.key, caller.offset)
    }
    running.lastOrNull()?.let {
        return ReconnectDecision.AttachToOwner(it.host, it.key, caller.offset)
    }
    copies.lastOrNull { it.head.finish != null }?.let {
        return ReconnectDecision.Replay(it.host, it.head.key, caller.offset)
    }
    copies.lastOrNull { !it.head.lineage.isFull }?.let { return takeOver(caller, it, results) }
    return decideWithoutJournal(caller, results)
}

/**
 * Decides by the holders' answers to a claim by [taker].
 *
 * The longest copy that continues what the caller holds wins. The continuation starts at its
 * length, so the lineage distinguishes this continuation from all others.
 */
public fun resolveTakeover(
    caller: ReconnectingCaller,
    taker: BranchId,
    claims: List<ClaimOutcome>,
): TakeoverResult {
    val supersededBy = claims.filterIsInstance<ClaimOutcome.Superseded>().maxOfOrNull { it.by }
    if (supersededBy != null) return TakeoverResult.AttachToOwner(supersededBy.host)
    val copy = claims.filterIsInstance<ClaimOutcome.Claimed>()
        .map { it.copy }
        .filter { caller.canContinueFrom(it.head.key, it.head.lineage, it.head.length) }
        .maxByOrNull { it.head.length }
        ?: return TakeoverResult.Fallback(decideWithoutJournal(caller, emptyList()))
    val lineage = copy.head.lineage.fork(taker, copy.head.length)
    return TakeoverResult.TakenOver(copy, lineage, caller.offset)
}

private fun takeOver(
    caller: ReconnectingCaller,
    best: LookupResult.Copy,
    results: List<LookupResult>,
): ReconnectDecision {
    val sameGeneration = results.filterIsInstance<LookupResult.Copy>()
        .filter { it.head.key == best.head.key }
    return ReconnectDecision.TakeOver(
        key = best.head.key,
        holders = sameGeneration.map { it.host }.toPersistentList(),
        epoch = sameGeneration.maxOf { it.head.owner.epoch } + 1,
        offset = caller.offset,
    )
}

private fun decideWithoutJournal(
    caller: ReconnectingCaller,
    results: List<LookupResult>,
): ReconnectDecision {
    val last = caller.last ?: return ReconnectDecision.StartNew
    val hasUnreachableHosts = results.any { it is LookupResult.Unreachable }
    return when {
        results.any { it.disproves(last) } -> refuse(
            ErrorCode.OFFSET_AHEAD,
            "fewer than ${last.offset} tokens were generated",
        )
        caller.acceptsRestart -> ReconnectDecision.Restart
        hasUnreachableHosts -> refuse(
            ErrorCode.CUT_OFF,
            "hosts that may have the answer are unreachable",
        )
        else -> refuse(ErrorCode.GENERATION_LOST, "no reachable host has what the caller holds")
    }
}

/** Whether the continuation named by the caller has fewer tokens than the caller claims to hold. */
private fun LookupResult.disproves(last: EventId): Boolean = this is LookupResult.Running &&
    key.generation == last.generation &&
    lineage.current == last.branch &&
    last.offset > length

private fun refuse(code: ErrorCode, detail: String): ReconnectDecision =
    ReconnectDecision.Refuse(Refusal(code, detail, RETRY_AFTER.takeIf { code.retryable }))

private val RETRY_AFTER = 1.seconds
