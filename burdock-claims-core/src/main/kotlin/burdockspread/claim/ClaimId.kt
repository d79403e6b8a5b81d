/** Name of one attempt to claim a call. */
package burdockspread.claim

/** Name of one claim, unique to the ask of one process: `process/number`. */
@JvmInline
public value class ClaimId(public val value: String) {
    override fun toString(): String = value
}
