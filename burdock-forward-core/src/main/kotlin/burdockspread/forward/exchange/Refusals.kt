/** Refusals that say no more than what is known of a request's attempts. */
package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.error.Refusal
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.load.AttemptOutcome
import kotlin.time.Duration.Companion.milliseconds

/** The refusal after a last attempt; [delivered] attempts may have run. */
internal fun exhausted(
    kind: CallKind,
    delivered: Int,
    outcome: AttemptOutcome,
    detail: String,
): Refusal = when {
    delivered > 0 -> Refusal(failed(kind), detail)
    outcome == AttemptOutcome.SHED ->
        Refusal(ErrorCode.OVERLOADED, "every target was full: $detail", SHED_RETRY)
    else -> Refusal(ErrorCode.RETRY_BUDGET_SPENT, detail, SHED_RETRY)
}

/** [refusal], or a failure that promises nothing when the request may have run after all. */
internal fun truthful(refusal: Refusal, kind: CallKind, delivered: Int): Refusal =
    if (delivered > 0 && refusal.executionOutcome == ExecutionOutcome.NOT_RUN) {
        Refusal(failed(kind), refusal.detail)
    } else {
        refusal
    }

private fun failed(kind: CallKind): ErrorCode =
    if (kind.repeatable) ErrorCode.CALL_FAILED else ErrorCode.OUTCOME_UNKNOWN

/** A full target has room again when one of its calls ends, some tens of milliseconds later. */
private val SHED_RETRY = 60.milliseconds
