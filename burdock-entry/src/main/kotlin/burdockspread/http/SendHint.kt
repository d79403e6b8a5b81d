/** What a caller states about earlier sends of its request. */
package burdockspread.http

/** The meanings of the header `Idempotency-Attempt`. */
internal enum class SendHint {
    /** The request was never sent before. */
    FIRST,

    /** The request was sent before, to any host. */
    REPEATED,

    /** The caller states nothing. */
    UNSTATED,
    ;

    companion object {
        private const val FIRST_VALUE = "first"

        /** Returns the meaning of the header's [value], or of its absence. */
        fun of(value: String?): SendHint = when {
            value == null -> UNSTATED
            value.trim().equals(FIRST_VALUE, ignoreCase = true) -> FIRST
            else -> REPEATED
        }
    }
}
