/** Results of edits. */
package burdockspread.document.edit

import arrow.core.NonEmptyList
import burdockspread.document.DocumentProblem
import burdockspread.document.PathDifference
import burdockspread.error.ErrorCode
import kotlinx.collections.immutable.ImmutableList

/** What became of an edit. */
public sealed interface EditResult {
    /** The edit is accepted as [generation], the new version of each section that it changed. */
    public data class Accepted(public val generation: Long) : EditResult

    /** The edit is not accepted and never will be. */
    public sealed interface Refused : EditResult {
        /** The numbered code. */
        public val code: ErrorCode
    }

    /** The document with this edit would not be valid. */
    public data class Invalid(public val problems: NonEmptyList<DocumentProblem>) : Refused {
        override val code: ErrorCode get() = ErrorCode.SECTION_INVALID
    }

    /** Another team owns the section. */
    public data class NotOwner(public val section: String, public val owner: String) : Refused {
        override val code: ErrorCode get() = ErrorCode.NOT_OWNER
    }

    /**
     * The section changed since the edit read it.
     *
     * @property current version in force.
     * @property differences paths at which the version in force, the edit and their common base
     * differ.
     */
    public data class Conflict(
        public val section: String,
        public val baseVersion: Long,
        public val current: Long,
        public val differences: ImmutableList<PathDifference>,
    ) : Refused {
        override val code: ErrorCode get() = ErrorCode.SECTION_CONFLICT
    }

    /** The store did not answer before the edit could take effect. */
    public data class Unavailable(public val reason: String) : Refused {
        override val code: ErrorCode get() = ErrorCode.STORE_UNAVAILABLE
    }

    /** The edit may have been accepted; sending it again under its id finds out. */
    public data class Unresolved(public val reason: String) : EditResult
}
