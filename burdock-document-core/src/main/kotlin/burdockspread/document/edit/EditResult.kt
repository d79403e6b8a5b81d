/** Results of edits. */
package burdockspread.document.edit

import arrow.core.NonEmptyList
import burdockspread.document.DocumentProblem
import burdockspread.document.PathDifference
import burdockspread.error.ErrorCode
import kotlinx.collections.immutable.ImmutableList

/** Outcome of an edit. */
public sealed interface EditResult {
    /** The edit is accepted; [generation] is the new version of each section that it changed. */
    public data class Accepted(public val generation: Long) : EditResult

    /** The edit was not accepted, and no write of it can still take effect. */
    public sealed interface Refused : EditResult {
        /** Numbered error code. */
        public val code: ErrorCode
    }

    /** The edit would make the document invalid. */
    public data class Invalid(public val problems: NonEmptyList<DocumentProblem>) : Refused {
        override val code: ErrorCode get() = ErrorCode.SECTION_INVALID
    }

    /** Another team owns the section. */
    public data class NotOwner(public val section: String, public val owner: String) : Refused {
        override val code: ErrorCode get() = ErrorCode.NOT_OWNER
    }

    /**
     * The section has changed since the base version of the edit.
     *
     * @property current current version of the section.
     * @property differences paths at which the current version, the edit and their common base
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

    /** The store was unavailable before the edit could take effect. */
    public data class Unavailable(public val reason: String) : Refused {
        override val code: ErrorCode get() = ErrorCode.STORE_UNAVAILABLE
    }

    /** The outcome is unknown; repeating the edit with the same id resolves it. */
    public data class Unresolved(public val reason: String) : EditResult
}
