/** Settings of the claims ledger. */
package burdockspread.claim

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the claims ledger. [shardCount] must be the same everywhere and never change.
 *
 * @property commitInterval least time between two writes of one process to one shard.
 * @property outcomeDelay longest time that an outcome waits for a claim to share its write.
 * @property headMaxAge age from which the head is read again before a write, because another
 *   process may have replaced it.
 * @property retryDelay time between tries while the store fails.
 * @property claimTimeout longest time that an ask waits for its claim.
 * @property sendTimeout time after the ask within which a claimed call may be sent.
 * @property outcomeTimeout age at which a claim without outcome is no longer "in progress".
 * @property retention age at which claims may be forgotten. At most once holds for repeats of a
 *   key within this time, less the difference between the clocks of the hosts.
 * @property windowBatches batches in the head above which they move to an archive.
 * @property windowBytes bytes of the head above which its batches move to an archive.
 * @property maxAnswerBytes longer answers are recorded as done without their body.
 * @property maxPendingClaims asks of one shard that may wait at a time.
 * @property maxBatchRecords records of one write.
 */
public data class ClaimSettings(
    public val shardCount: Int = 16,
    public val commitInterval: Duration = 50.milliseconds,
    public val outcomeDelay: Duration = 500.milliseconds,
    public val headMaxAge: Duration = 200.milliseconds,
    public val retryDelay: Duration = 100.milliseconds,
    public val claimTimeout: Duration = 2.seconds,
    public val sendTimeout: Duration = 5.seconds,
    public val outcomeTimeout: Duration = 1.minutes,
    public val retention: Duration = 2.hours,
    public val windowBatches: Int = 64,
    public val windowBytes: Int = 32_768,
    public val maxAnswerBytes: Int = 8_192,
    public val maxPendingClaims: Int = 2_000,
    public val maxBatchRecords: Int = 64,
) {
    init {
        require(shardCount > 0) { "shardCount must be positive" }
        require(claimTimeout <= sendTimeout) { "claimWait must not exceed sendWithin" }
        require(sendTimeout < outcomeTimeout) { "sendWithin must be below unknownAfter" }
        require(outcomeTimeout < retention) { "unknownAfter must be below retention" }
    }
}
