/** Results of conditional writes to the platform's object API. */
package burdockspread.store

/** Result of one conditional write. */
public sealed interface WriteResult {
    /** The write was applied as [version]. */
    public data class Written(public val version: Long) : WriteResult

    /** The condition did not hold; the write was not applied and never will be. */
    public data object Conflict : WriteResult

    /** The store refused before it changed anything, for example because of its rate limit. */
    public data class Refused(public val reason: String) : WriteResult

    /** The answer was lost: the write may have been applied, or may still be applied. */
    public data class Unknown(public val reason: String) : WriteResult
}
