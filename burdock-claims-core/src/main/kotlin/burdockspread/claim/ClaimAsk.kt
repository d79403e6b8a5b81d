/** One ask for a claim within a process. */
package burdockspread.claim

import kotlin.time.Instant

/** One ask for a claim, named by the [id] that its claim gets if it comes in. */
public data class ClaimAsk(
    public val id: ClaimId,
    public val key: KeyHash,
    public val bodyHash: BodyHash,
    public val firstSend: Boolean,
    public val askedAt: Instant,
)

/** The decision on the ask [id]. */
public data class ClaimAnswer(public val id: ClaimId, public val decision: ClaimDecision)
