/** Size of a journal batch on the wire. */
package burdockspread.bench.generation

import burdockspread.journal.JournalBatch
import burdockspread.journal.Segment
import burdockspread.wire.journal.Branch
import burdockspread.wire.journal.CopyKey
import burdockspread.wire.journal.JournalBatch as WireBatch
import burdockspread.wire.journal.Segment as WireSegment

/** Bytes of the tag and length of one batch within a request that carries many. */
private const val FIELD_BYTES = 4

/** Returns the bytes of [batch] within a request that carries batches of many generations. */
internal fun serializedBytes(batch: JournalBatch): Int {
    val key = CopyKey.newBuilder()
        .setOrganisation(batch.key.request.organisation.value)
        .setRequestId(batch.key.request.request.value)
        .setGenerationId(batch.key.generation.value)
    return WireBatch.newBuilder()
        .setKey(key)
        .addAllLineage(batch.lineage.segments.map { toWire(it) })
        .setOffset(batch.offset)
        .addAllTokens(batch.tokens)
        .setFinishReason(batch.finish?.wireName.orEmpty())
        .setRequestBody(batch.body.orEmpty())
        .setCreatedAtMillis(batch.createdAt.toEpochMilliseconds())
        .build()
        .serializedSize + FIELD_BYTES
}

private fun toWire(segment: Segment): WireSegment {
    val branch = Branch.newBuilder()
        .setEpoch(segment.branch.epoch)
        .setHost(segment.branch.host.value)
        .setNonce(segment.branch.nonce)
    return WireSegment.newBuilder().setBranch(branch).setStart(segment.start).build()
}
