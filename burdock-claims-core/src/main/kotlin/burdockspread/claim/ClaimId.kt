/** Id of a claim. */
package burdockspread.claim

/** Id of one claim, unique to one attempt of one process: `process/number`. */
@JvmInline
public value class ClaimId(public val value: String) {
    override fun toString(): String = value
}
