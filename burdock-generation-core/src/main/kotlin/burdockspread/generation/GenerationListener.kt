/** Listener for metrics and logs. */
package burdockspread.generation

import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId

/** Observes generations. Called on the thread that drives the generation. */
public interface GenerationListener {
    /** Called when tokens were dropped. */
    public fun onTokensDropped(attempt: AttemptNumber, reason: DropReason, tokens: Int) {}

    /** Called when an attempt delivered nothing or was too slow for longer than its timeout. */
    public fun onAttemptStalled(attempt: AttemptNumber, target: TargetId?) {}

    /** Called when an extra attempt was needed and the budget was exhausted. */
    public fun onBudgetExhausted() {}

    public companion object {
        /** Ignores all calls. */
        public val None: GenerationListener = object : GenerationListener {}
    }
}

/** Why tokens were dropped. */
public enum class DropReason {
    /** The attempt is no longer active. */
    LATE,

    /** The offset was filled before. */
    DUPLICATE,

    /** The offset lies beyond the next one. */
    GAP,

    /** The answer already has its maximum number of tokens. */
    EXCESS,
}
