/** Measurements of one target over a short time. */
package burdockspread.health

import burdockspread.id.TargetId

/** Sums over a short time; samples of several hosts can be added. */
public data class TargetSample(
    public val target: TargetId,
    /** Requests sent that ended or produced a first token. */
    public val attempts: Long = 0,
    /** Attempts whose connection broke or that were answered with an error. */
    public val failures: Long = 0,
    /** Attempts without any data for longer than the stall timeout. */
    public val stalls: Long = 0,
    /** Attempts that produced a first token. */
    public val firstTokens: Long = 0,
    /** Sum of the times to the first token. */
    public val firstTokenMillis: Long = 0,
    /** Tokens after the first. */
    public val decodeTokens: Long = 0,
    /** Sum of the times from the first to the last token. */
    public val decodeMillis: Long = 0,
) {
    /** Returns the sum of both samples. */
    public operator fun plus(other: TargetSample): TargetSample = TargetSample(
        target,
        attempts + other.attempts,
        failures + other.failures,
        stalls + other.stalls,
        firstTokens + other.firstTokens,
        firstTokenMillis + other.firstTokenMillis,
        decodeTokens + other.decodeTokens,
        decodeMillis + other.decodeMillis,
    )
}
