/** Problems found by the validation of the document. */
package burdockspread.document

/**
 * One validation problem in the document.
 *
 * @property section name of the section at fault.
 * @property path field path within the section, such as `targets[engine-7].address`; empty for the
 * whole section.
 * @property message single-line description of the problem.
 */
public data class DocumentProblem(
    public val section: String,
    public val path: String,
    public val message: String,
) {
    override fun toString(): String =
        if (path.isEmpty()) "$section: $message" else "$section: $path: $message"
}
