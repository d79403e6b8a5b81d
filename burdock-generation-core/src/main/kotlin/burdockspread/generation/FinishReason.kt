/** Why an engine ended a generation. */
package burdockspread.generation

/**
 * Why an engine ended a generation.
 *
 * @property wireName name in messages to callers and peers.
 */
public enum class FinishReason(public val wireName: String) {
    /** The model ended its answer. */
    STOP("stop"),

    /** The answer reached the largest number of tokens. */
    LENGTH("length"),
    ;

    public companion object {
        /** The reason with this [wireName], or null for an unknown one. */
        public fun ofWireName(wireName: String): FinishReason? =
            entries.firstOrNull { it.wireName == wireName }
    }
}
