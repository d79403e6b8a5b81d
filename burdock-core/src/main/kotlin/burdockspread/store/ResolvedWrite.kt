/** Results of writes whose lost answers have been resolved as far as possible. */
package burdockspread.store

/** Result of a write through [ResolvingStore]. */
public sealed interface ResolvedWrite {
    /** The write is in, under [version]. */
    public data class Written(public val version: Long) : ResolvedWrite

    /** The write is not in and never will be; [current] is what the store holds, if it was read. */
    public data class NotApplied(public val current: StoredObject?) : ResolvedWrite

    /** The store refused before it changed anything. */
    public data class Refused(public val reason: String) : ResolvedWrite

    /**
     * The write may be in, may have been in and be overwritten, or may still get in; reading back
     * gave no proof in time. [current] is the object that was read last, if any.
     */
    public data class Unresolved(
        public val reason: String,
        public val current: StoredObject? = null,
    ) : ResolvedWrite
}
