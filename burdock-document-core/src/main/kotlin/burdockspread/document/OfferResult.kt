/** Results of offering a section to a document replica. */
package burdockspread.document

import arrow.core.NonEmptyList

/** Outcome of offering a section to a [DocumentReplica]. */
public sealed interface OfferResult {
    /** The section is active, possibly together with others that were waiting for it. */
    public data class Applied(public val versions: SectionVersions) : OfferResult

    /** The replica already has the version [current], which is the same or higher. */
    public data class Stale(public val current: Long) : OfferResult

    /**
     * The section is valid by itself and is kept, but is inconsistent with the other sections. It
     * becomes active as soon as the sections that it depends on arrive.
     */
    public data class Waiting(public val problems: NonEmptyList<DocumentProblem>) : OfferResult

    /** The section is invalid by itself and was dropped; the active sections do not change. */
    public data class Invalid(public val problems: NonEmptyList<DocumentProblem>) : OfferResult
}
