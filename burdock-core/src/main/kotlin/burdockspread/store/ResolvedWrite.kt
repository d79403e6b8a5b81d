/** Results of writes whose lost answers have been resolved as far as possible. */
package burdockspread.store

/** Result of a write through [ResolvingStore]. */
public sealed interface ResolvedWrite {
    /** The write was applied as [version]. */
    public data class Written(public val version: Long) : ResolvedWrite

    /**
     * The write was not applied and never will be; [current] is the stored object, if it was read.
     */
    public data class NotApplied(public val current: StoredObject?) : ResolvedWrite

    /** The store refused before it changed anything. */
    public data class Refused(public val reason: String) : ResolvedWrite

    /**
     * The write may have been applied, may have been applied and overwritten, or may still be
     * applied; reading back gave no proof in time. [current] is the object that was read last, if
     * any.
     */
    public data class Unresolved(
        public val reason: String,
        public val current: StoredObject? = null,
    ) : ResolvedWrite
}
