/** One ask for a claim within a process. */
package burdockspread.claim

import kotlin.time.Instant

/** One ask for a claim, named by the [id] that its claim gets if it comes in. */
public data class ClaimAttempt(
    public val id: ClaimId,
    public val key: KeyHash,
    public val bodyHash: BodyHash,
    public val firstSend: Boolean,
    public val requestedAt: Instant,
)

/** The decision on the ask [id]. */
public data class ClaimResult(public val id: ClaimId, public val decision: ClaimDecision)
