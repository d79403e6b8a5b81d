/** Finish reasons of engines. */
package burdockspread.generation

/**
 * Why an engine finished a generation.
 *
 * @property wireName name in messages to callers and peers.
 */
public enum class FinishReason(public val wireName: String) {
    /** The model ended its answer. */
    STOP("stop"),

    /** The answer reached its maximum number of tokens. */
    LENGTH("length"),
    ;

    public companion object {
        /** Returns the reason with this [wireName], or null for an unknown one. */
        public fun ofWireName(wireName: String): FinishReason? =
            entries.firstOrNull { it.wireName == wireName }
    }
}
