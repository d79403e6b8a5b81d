/** Settings of the claims ledger. */
package burdockspread.claim

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the claims ledger. [shardCount] must be the same on all hosts and must never change.
 *
 * @property commitInterval minimum time between two writes of one process to one shard.
 * @property outcomeDelay maximum time for which an outcome waits to share the write of a claim.
 * @property headMaxAge age at which the head is read again before a write, because another process
 *   may have replaced it.
 * @property retryDelay delay between attempts while the store fails.
 * @property claimTimeout maximum time for which an attempt waits for its claim.
 * @property sendTimeout time after the request within which a claimed call may be sent.
 * @property outcomeTimeout age at which a claim without an outcome is no longer "in progress".
 * @property retention age at which claims may be dropped. At-most-once holds for repeats of a key
 *   within this time, less the clock skew between hosts.
 * @property windowBatches number of batches in the head at which they move to an archive.
 * @property windowBytes size of the head in bytes at which its batches move to an archive.
 * @property maxAnswerBytes size above which an answer is recorded as done without its body.
 * @property maxPendingClaims maximum number of attempts of one shard that wait at a time.
 * @property maxBatchRecords maximum number of records in one write.
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
        require(claimTimeout <= sendTimeout) { "claimTimeout must not exceed sendTimeout" }
        require(sendTimeout < outcomeTimeout) { "sendTimeout must be below outcomeTimeout" }
        require(outcomeTimeout < retention) { "outcomeTimeout must be below retention" }
    }
}
