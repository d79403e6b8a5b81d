/** One attempt of a process to claim a call. */
package burdockspread.claim

import kotlin.time.Instant

/** An attempt to claim a call. Its [id] becomes the id of the claim if the claim is committed. */
public data class ClaimAttempt(
    public val id: ClaimId,
    public val key: KeyHash,
    public val bodyHash: BodyHash,
    public val firstSend: Boolean,
    public val requestedAt: Instant,
)

/** The decision on the attempt [id]. */
public data class ClaimResult(public val id: ClaimId, public val decision: ClaimDecision)
