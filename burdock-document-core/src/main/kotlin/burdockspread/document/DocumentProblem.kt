/** Problems that a check of the document finds. */
package burdockspread.document

/**
 * One problem in the document.
 *
 * @property section section that has to change.
 * @property path where in the section, for example `targets[engine-7].address`; may be empty.
 * @property message what is wrong there, in one sentence without a line break.
 */
public data class DocumentProblem(
    public val section: String,
    public val path: String,
    public val message: String,
) {
    override fun toString(): String =
        if (path.isEmpty()) "$section: $message" else "$section: $path: $message"
}
