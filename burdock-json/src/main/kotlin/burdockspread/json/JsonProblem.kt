/** Errors found when JSON text is validated against its schema. */
package burdockspread.json

/**
 * One validation error in a JSON text.
 *
 * @property path JSON path of the value, such as `targets[3].address`; empty for the whole text.
 * @property message description of the error, in one sentence without a line break.
 */
public data class JsonProblem(public val path: String, public val message: String) {
    override fun toString(): String = if (path.isEmpty()) message else "$path: $message"
}
