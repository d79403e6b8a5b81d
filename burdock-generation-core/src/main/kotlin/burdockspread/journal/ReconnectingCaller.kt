/** Caller that reconnects for the rest of an answer. */
package burdockspread.journal

/**
 * A caller that reconnects for an answer.
 *
 * @property last what it has received, or null when it has nothing and wants the whole answer.
 * @property acceptsRestart whether the request can be run again from the start: the caller sent its
 *   body again and did not exclude a restart.
 */
public data class ReconnectingCaller(
    public val key: RequestKey,
    public val last: EventId?,
    public val acceptsRestart: Boolean,
) {
    /** Offset of the first token that the caller lacks. */
    public val offset: Int get() = last?.offset ?: 0

    /** Whether what the caller holds is a prefix of the first [length] tokens of [lineage]. */
    internal fun canContinueFrom(key: CopyKey, lineage: Lineage, length: Int): Boolean {
        if (key.request != this.key) return false
        val event = last ?: return true
        return event.generation == key.generation &&
            lineage.containsPrefix(event.branch, event.offset, length)
    }
}
