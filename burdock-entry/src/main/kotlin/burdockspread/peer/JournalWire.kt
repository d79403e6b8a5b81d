/** Conversions between journal types and their protobuf messages. */
package burdockspread.peer

import burdockspread.generation.FinishReason
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.journal.AppendOutcome
import burdockspread.journal.BranchId
import burdockspread.journal.ClaimOutcome
import burdockspread.journal.CopyHead
import burdockspread.journal.CopyKey
import burdockspread.journal.JournalBatch
import burdockspread.journal.JournalCopy
import burdockspread.journal.Lineage
import burdockspread.journal.RequestKey
import burdockspread.journal.Segment
import burdockspread.wire.journal.AppendResult
import burdockspread.wire.journal.Branch
import burdockspread.wire.journal.ClaimReply
import burdockspread.wire.journal.appendResult
import burdockspread.wire.journal.branch
import burdockspread.wire.journal.claimReply
import burdockspread.wire.journal.copyHead
import burdockspread.wire.journal.copyKey
import burdockspread.wire.journal.journalBatch
import burdockspread.wire.journal.journalCopy
import burdockspread.wire.journal.segment
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Instant
import burdockspread.wire.journal.CopyHead as CopyHeadMessage
import burdockspread.wire.journal.CopyKey as CopyKeyMessage
import burdockspread.wire.journal.JournalBatch as JournalBatchMessage
import burdockspread.wire.journal.JournalCopy as JournalCopyMessage
import burdockspread.wire.journal.Segment as SegmentMessage

internal fun CopyKey.toMessage(): CopyKeyMessage {
    val key = this
    return copyKey {
        organisation = key.request.organisation.value
        requestId = key.request.request.value
        generationId = key.generation.value
    }
}

internal fun CopyKeyMessage.toCopyKey(): CopyKey =
    CopyKey(requestKey(organisation, requestId), GenerationId(generationId))

internal fun requestKey(organisation: String, request: String): RequestKey =
    RequestKey(OrganisationId(organisation), RequestId(request))

internal fun BranchId.toMessage(): Branch {
    val id = this
    return branch {
        epoch = id.epoch
        host = id.host.value
        nonce = id.nonce
    }
}

internal fun Branch.toBranchId(): BranchId = BranchId(epoch, HostId(host), nonce)

internal fun Lineage.toMessages(): List<SegmentMessage> = segments.map {
    segment {
        branch = it.branch.toMessage()
        start = it.start
    }
}

internal fun List<SegmentMessage>.toLineage(): Lineage =
    Lineage(map { Segment(it.branch.toBranchId(), it.start) }.toPersistentList())

internal fun JournalBatch.toMessage(): JournalBatchMessage {
    val batch = this
    return journalBatch {
        key = batch.key.toMessage()
        lineage += batch.lineage.toMessages()
        offset = batch.offset
        tokens += batch.tokens
        finishReason = batch.finish?.wireName.orEmpty()
        requestBody = batch.body.orEmpty()
        createdAtMillis = batch.createdAt.toEpochMilliseconds()
    }
}

internal fun JournalBatchMessage.toJournalBatch(): JournalBatch = JournalBatch(
    key.toCopyKey(),
    lineageList.toLineage(),
    offset,
    tokensList.toImmutableList(),
    FinishReason.ofWireName(finishReason),
    requestBody.takeIf { it.isNotEmpty() },
    Instant.fromEpochMilliseconds(createdAtMillis),
)

internal fun AppendOutcome.toMessage(): AppendResult {
    val result = this
    return appendResult {
        when (result) {
            is AppendOutcome.Appended -> {
                outcome = AppendResult.Outcome.APPENDED
                length = result.length
                finished = result.finished
            }
            is AppendOutcome.Gap -> {
                outcome = AppendResult.Outcome.GAP
                length = result.length
            }
            is AppendOutcome.Superseded -> {
                outcome = AppendResult.Outcome.SUPERSEDED
                by = result.by.toMessage()
            }
            is AppendOutcome.NoRoom -> outcome = AppendResult.Outcome.NO_ROOM
        }
    }
}

internal fun AppendResult.toAppendOutcome(): AppendOutcome = when (outcome) {
    AppendResult.Outcome.APPENDED -> AppendOutcome.Appended(length, finished)
    AppendResult.Outcome.GAP -> AppendOutcome.Gap(length)
    AppendResult.Outcome.SUPERSEDED -> AppendOutcome.Superseded(by.toBranchId())
    else -> AppendOutcome.NoRoom
}

internal fun CopyHead.toMessage(): CopyHeadMessage {
    val head = this
    return copyHead {
        key = head.key.toMessage()
        owner = head.owner.toMessage()
        lineage += head.lineage.toMessages()
        length = head.length
        finishReason = head.finish?.wireName.orEmpty()
    }
}

internal fun CopyHeadMessage.toCopyHead(): CopyHead = CopyHead(
    key.toCopyKey(),
    owner.toBranchId(),
    lineageList.toLineage(),
    length,
    FinishReason.ofWireName(finishReason),
)

internal fun JournalCopy.toMessage(): JournalCopyMessage {
    val copy = this
    return journalCopy {
        head = copy.head.toMessage()
        tokens += copy.tokens
        requestBody = copy.body
        createdAtMillis = copy.createdAt.toEpochMilliseconds()
    }
}

internal fun JournalCopyMessage.toJournalCopy(): JournalCopy = JournalCopy(
    head.toCopyHead(),
    tokensList.toImmutableList(),
    requestBody,
    Instant.fromEpochMilliseconds(createdAtMillis),
)

internal fun ClaimOutcome.toMessage(): ClaimReply {
    val result = this
    return claimReply {
        when (result) {
            is ClaimOutcome.Claimed -> {
                outcome = ClaimReply.Outcome.CLAIMED
                copy = result.copy.toMessage()
            }
            is ClaimOutcome.Superseded -> {
                outcome = ClaimReply.Outcome.SUPERSEDED
                by = result.by.toMessage()
            }
            is ClaimOutcome.Missing -> outcome = ClaimReply.Outcome.MISSING
        }
    }
}

internal fun ClaimReply.toClaimOutcome(): ClaimOutcome = when (outcome) {
    ClaimReply.Outcome.CLAIMED -> ClaimOutcome.Claimed(copy.toJournalCopy())
    ClaimReply.Outcome.SUPERSEDED -> ClaimOutcome.Superseded(by.toBranchId())
    else -> ClaimOutcome.Missing
}
