/** What a caller asks of the claims ledger. */
package burdockspread.claim

import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId

/**
 * Asks for the right to send a call that may not be repeated.
 *
 * @property firstSend true only when the caller states that it never sent this key before, to any
 *   host, and will not send it again before it has this answer. Only then can a refused write
 *   prove that the call was not run: otherwise another send may have claimed and run it unseen.
 */
public data class ClaimRequest(
    public val organisation: OrganisationId,
    public val key: IdempotencyKey,
    public val bodyHash: BodyHash,
    public val firstSend: Boolean = false,
)
