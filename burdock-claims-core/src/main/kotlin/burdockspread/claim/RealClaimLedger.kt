/** The ledger of one process: its shards, their locks and their calls to the store. */
package burdockspread.claim

import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import burdockspread.store.ResolvingStore
import burdockspread.time.TimeSource
import burdockspread.wire.claims.ClaimLayout
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Instant

internal class RealClaimLedger(
    private val process: String,
    private val store: ObjectStore,
    private val resolving: ResolvingStore,
    time: TimeSource,
    private val settings: ClaimSettings,
) : ClaimLedger {
    private val claimNumbers = AtomicLong()
    private val shards = List(settings.shardCount) { shard ->
        LedgerShard(ShardStateMachine(shard, process, settings), store, resolving, time, settings)
    }

    override suspend fun claim(request: ClaimRequest, now: Instant): ClaimDecision {
        val id = ClaimId("$process/${claimNumbers.incrementAndGet()}")
        val key = KeyHash.of(request.organisation, request.key)
        val attempt = ClaimAttempt(id, key, request.bodyHash, request.firstSend, now)
        return shardOf(key).claim(attempt)
    }

    override fun record(permit: SendPermit, outcome: CallOutcome, now: Instant) {
        shardOf(permit.key).record(permit, outcome, now)
    }

    override suspend fun runLoop(): Unit = coroutineScope {
        awaitLayout()
        shards.forEach { launch { it.run() } }
    }

    /**
     * Waits for a matching layout: with a different shard count, keys would be looked up in the
     * wrong shard.
     */
    private suspend fun awaitLayout() {
        while (storedLayout()?.shardCount != settings.shardCount) delay(settings.retryDelay)
    }

    private suspend fun storedLayout(): ClaimLayout? {
        val key = ClaimCodec.layoutKey
        val read = store.get(key)
        if (read is ReadResult.Found) return ClaimCodec.decodeLayout(read.value.value)
        val own = ClaimLayout.newBuilder().setShardCount(settings.shardCount).build()
        val writeId = "$process/layout"
        return when (val created = resolving.create(key, ClaimCodec.encode(own), writeId)) {
            is ResolvedWrite.Written -> own
            is ResolvedWrite.NotApplied ->
                created.current?.let { ClaimCodec.decodeLayout(it.value) }
            else -> null
        }
    }

    override fun state(): ClaimLedgerState =
        ClaimLedgerState(shards.map { it.state() }.toImmutableList())

    private fun shardOf(key: KeyHash): LedgerShard = shards[key.shard(settings.shardCount)]
}
