/** Request for a claim. */
package burdockspread.claim

import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId

/**
 * Requests the right to send a call that may not be repeated.
 *
 * @property firstSend true only when the caller states that it has never sent this key to any host
 *   and will not send it again before it has this answer. Only then does a refused write prove that
 *   the call has not run; otherwise another send may have claimed and run it unnoticed.
 */
public data class ClaimRequest(
    public val organisation: OrganisationId,
    public val key: IdempotencyKey,
    public val bodyHash: BodyHash,
    public val firstSend: Boolean = false,
)
