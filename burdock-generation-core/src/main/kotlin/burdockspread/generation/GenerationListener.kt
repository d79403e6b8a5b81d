/** Observes generations for metrics and logs. */
package burdockspread.generation

import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId

/** Observes generations. Calls come from the thread that drives the generation. */
public interface GenerationListener {
    /** Tokens were dropped. */
    public fun onTokensDropped(attempt: AttemptNumber, reason: DropReason, tokens: Int) {}

    /** An attempt was silent or slow for longer than its limit. */
    public fun onAttemptStalled(attempt: AttemptNumber, target: TargetId?) {}

    /** An extra attempt was wanted and the budget was spent. */
    public fun onBudgetExhausted() {}

    public companion object {
        /** Observes nothing. */
        public val None: GenerationListener = object : GenerationListener {}
    }
}

/** Why tokens were dropped. */
public enum class DropReason {
    /** The attempt is no longer current. */
    LATE,

    /** The offset was filled before. */
    DUPLICATE,

    /** The offset lies beyond the next one. */
    GAP,

    /** The answer already has its largest number of tokens. */
    EXCESS,
}
