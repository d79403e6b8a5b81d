package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Instant

val START = Instant.fromEpochSeconds(10_000)

fun request(n: Int = 1) = RequestKey(OrganisationId("o"), RequestId("r$n"))

fun copyKey(n: Int = 1) = CopyKey(request(n), GenerationId("g$n"))

fun branch(epoch: Long, host: String, nonce: Long = epoch) = BranchId(epoch, HostId(host), nonce)

fun batch(
    lineage: Lineage,
    offset: Int,
    tokens: List<String>,
    finish: FinishReason? = null,
    key: CopyKey = copyKey(),
) = JournalBatch(
    key = key,
    lineage = lineage,
    offset = offset,
    tokens = tokens.toPersistentList(),
    finish = finish,
    body = "{}".takeIf { offset == 0 },
    createdAt = START,
)
