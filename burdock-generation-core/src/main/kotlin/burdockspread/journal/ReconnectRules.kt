/** The rules for callers that come back, free of state. */
package burdockspread.journal

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlin.time.Duration.Companion.seconds

/**
 * Hosts that may run the caller's generation and are not among the [sightings] yet: they are asked
 * before [decideReconnect], because a reachable owner goes before a takeover.
 */
public fun ownersToQuery(
    caller: ReconnectingCaller,
    sightings: List<LookupResult>,
): ImmutableSet<HostId> {
    val named = sightings.filterIsInstance<LookupResult.Copy>().map { it.head.owner.host }
    val asked = sightings.map { it.host }.toSet()
    return (listOfNotNull(caller.last?.branch?.host) + named - asked).toPersistentSet()
}

/**
 * Decides what becomes of a returning caller, on host [self], from what was found.
 *
 * A caller is only continued from a journal that holds what the caller holds; this makes a mixture
 * of two continuations impossible, however many there are.
 */
public fun decideReconnect(
    caller: ReconnectingCaller,
    self: HostId,
    sightings: List<LookupResult>,
): ReconnectDecision {
    val running = sightings.filterIsInstance<LookupResult.Running>()
        .filter { caller.fits(it.key, it.lineage, it.length) }
        .sortedWith(compareBy({ it.lineage.current }, { it.length }))
    val copies = sightings.filterIsInstance<LookupResult.Copy>()
        .filter { caller.fits(it.head.key, it.head.lineage, it.head.length) }
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
    copies.lastOrNull { !it.head.lineage.isFull }?.let { return takeOver(caller, it, sightings) }
    return withoutJournal(caller, sightings)
}

/**
 * Decides by the holders' answers to a claim by [taker].
 *
 * The longest copy that continues what the caller holds wins. Its length is where the continuation
 * begins, so the lineage tells this continuation from every other one.
 */
public fun resolveTakeover(
    caller: ReconnectingCaller,
    taker: BranchId,
    claims: List<ClaimOutcome>,
): TakeoverResult {
    val faster = claims.filterIsInstance<ClaimOutcome.Superseded>().maxOfOrNull { it.by }
    if (faster != null) return TakeoverResult.AttachToOwner(faster.host)
    val copy = claims.filterIsInstance<ClaimOutcome.Claimed>()
        .map { it.copy }
        .filter { caller.fits(it.head.key, it.head.lineage, it.head.length) }
        .maxByOrNull { it.head.length }
        ?: return TakeoverResult.Fallback(withoutJournal(caller, emptyList()))
    val lineage = copy.head.lineage.fork(taker, copy.head.length)
    return TakeoverResult.Continue(copy, lineage, caller.offset)
}

private fun takeOver(
    caller: ReconnectingCaller,
    best: LookupResult.Copy,
    sightings: List<LookupResult>,
): ReconnectDecision {
    val same = sightings.filterIsInstance<LookupResult.Copy>()
        .filter { it.head.key == best.head.key }
    return ReconnectDecision.TakeOver(
        key = best.head.key,
        holders = same.map { it.host }.toPersistentList(),
        epoch = same.maxOf { it.head.owner.epoch } + 1,
        offset = caller.offset,
    )
}

private fun withoutJournal(
    caller: ReconnectingCaller,
    sightings: List<LookupResult>,
): ReconnectDecision {
    val last = caller.last ?: return ReconnectDecision.StartNew
    val cutOff = sightings.any { it is LookupResult.Unreachable }
    return when {
        sightings.any { it.disproves(last) } -> refuse(
            ErrorCode.OFFSET_AHEAD,
            "fewer than ${last.offset} tokens were generated",
        )
        caller.acceptsRestart -> ReconnectDecision.Restart
        cutOff -> refuse(ErrorCode.CUT_OFF, "hosts that may have the answer do not answer")
        else -> refuse(ErrorCode.GENERATION_LOST, "no reachable host has what the caller holds")
    }
}

/** Whether the very continuation that the caller names has fewer tokens than it claims to hold. */
private fun LookupResult.disproves(last: EventId): Boolean = this is LookupResult.Running &&
    key.generation == last.generation &&
    lineage.current == last.branch &&
    last.offset > length

private fun refuse(code: ErrorCode, detail: String): ReconnectDecision =
    ReconnectDecision.Refuse(Refusal(code, detail, RETRY_AFTER.takeIf { code.retryable }))

private val RETRY_AFTER = 1.seconds
