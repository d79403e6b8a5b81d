/** Refusals that claim no more than what is known about a request's attempts. */
package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.load.AttemptOutcome
import kotlin.time.Duration.Companion.milliseconds

/** Returns the refusal after the last attempt; [delivered] attempts may have been executed. */
internal fun exhausted(
    kind: CallKind,
    delivered: Int,
    outcome: AttemptOutcome,
    detail: String,
): Refusal = when {
    delivered > 0 -> Refusal(failureCode(kind), detail)
    outcome == AttemptOutcome.SHED ->
        Refusal(ErrorCode.OVERLOADED, "the last target tried was full: $detail", SHED_RETRY_AFTER)
    else -> Refusal(ErrorCode.RETRY_BUDGET_SPENT, detail, SHED_RETRY_AFTER)
}

/** Returns [refusal], without its claim "not run" if the request may have been executed. */
internal fun withoutNotRunClaim(refusal: Refusal, kind: CallKind, delivered: Int): Refusal =
    if (delivered > 0 && refusal.executionOutcome == ExecutionOutcome.NOT_RUN) {
        Refusal(failureCode(kind), refusal.detail)
    } else {
        refusal
    }

private fun failureCode(kind: CallKind): ErrorCode =
    if (kind.isRepeatable) ErrorCode.CALL_FAILED else ErrorCode.OUTCOME_UNKNOWN

/** A full target has capacity again after tens of milliseconds, when one of its calls ends. */
private val SHED_RETRY_AFTER = 60.milliseconds
