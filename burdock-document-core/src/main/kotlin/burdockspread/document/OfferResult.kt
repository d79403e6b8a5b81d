/** Results of bringing a section to a host. */
package burdockspread.document

import arrow.core.NonEmptyList

/** What a host did with a section that somebody brought. */
public sealed interface OfferResult {
    /** The section is in force, possibly with others that had waited for it. */
    public data class Applied(public val versions: SectionVersions) : OfferResult

    /** The host holds the same or a higher version already and changed nothing. */
    public data class Stale(public val held: Long) : OfferResult

    /**
     * The section is readable and kept, but does not fit the other sections yet. It comes into
     * force by itself as soon as the sections it needs arrive.
     */
    public data class Waiting(public val problems: NonEmptyList<DocumentProblem>) : OfferResult

    /** The text is not a section and was dropped; the others stay in force. */
    public data class Invalid(public val problems: NonEmptyList<DocumentProblem>) : OfferResult
}
