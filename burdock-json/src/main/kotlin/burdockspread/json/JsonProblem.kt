/** Problems found while reading a JSON text against its schema. */
package burdockspread.json

/**
 * One problem in a JSON text.
 *
 * @property path where it stands, for example `targets[3].address`; empty for the whole text.
 * @property message what is wrong there, in one sentence without a line break.
 */
public data class JsonProblem(public val path: String, public val message: String) {
    override fun toString(): String = if (path.isEmpty()) message else "$path: $message"
}
