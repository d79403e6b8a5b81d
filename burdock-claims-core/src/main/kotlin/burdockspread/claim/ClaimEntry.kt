/** State of one key. */
package burdockspread.claim

import burdockspread.wire.claims.ClaimRecord
import com.google.protobuf.ByteString
import kotlin.time.Instant

/**
 * The claim on one key, with its outcome once known. Kept small because there is one entry for each
 * call of the retention time. The holder matters only until the outcome is known.
 */
internal class ClaimEntry(
    val sequence: Long,
    claimId: ClaimId,
    private val bodyHash: KeyHash,
    private val claimedAtMillis: Long,
) {
    private var holder: String? = claimId.value

    var outcome: ClaimDecision? = null
        private set

    val claimedAt: Instant get() = Instant.fromEpochMilliseconds(claimedAtMillis)

    fun isHeldBy(id: ClaimId): Boolean = holder == id.value

    fun hasBody(hash: BodyHash): Boolean = bodyHash == KeyHash.of(hash.toBytes())

    fun close(decision: ClaimDecision) {
        outcome = decision
        holder = null
    }
}

/** Returns the decision that an outcome record stands for. */
internal fun ClaimRecord.toDecision(): ClaimDecision = if (state == ClaimRecord.State.NOT_RUN) {
    ClaimDecision.NotRun
} else {
    ClaimDecision.AlreadyDone(status, answer.takeUnless { answerOmitted })
}

internal fun claimedRecord(attempt: ClaimAttempt): ClaimRecord = ClaimRecord.newBuilder()
    .setKeyHash(ByteString.copyFrom(attempt.key.toBytes()))
    .setBodySha256(ByteString.copyFrom(attempt.bodyHash.toBytes()))
    .setClaimId(attempt.id.value)
    .setState(ClaimRecord.State.CLAIMED)
    .build()

internal fun notRunRecord(key: KeyHash, id: ClaimId): ClaimRecord = ClaimRecord.newBuilder()
    .setKeyHash(ByteString.copyFrom(key.toBytes()))
    .setClaimId(id.value)
    .setState(ClaimRecord.State.NOT_RUN)
    .build()

internal fun doneRecord(
    permit: SendPermit,
    done: CallOutcome.Done,
    maxAnswerBytes: Int,
): ClaimRecord {
    val record = ClaimRecord.newBuilder()
        .setKeyHash(ByteString.copyFrom(permit.key.toBytes()))
        .setClaimId(permit.claimId.value)
        .setState(ClaimRecord.State.DONE)
        .setStatus(done.status)
    return if (done.answer.size() > maxAnswerBytes) {
        record.setAnswerOmitted(true).build()
    } else {
        record.setAnswer(done.answer).build()
    }
}
