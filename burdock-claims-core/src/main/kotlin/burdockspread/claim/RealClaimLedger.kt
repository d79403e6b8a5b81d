/** The ledger of one process: its shards, their locks and their calls to the store. */
package burdockspread.claim

import burdockspread.store.ObjectStore
import burdockspread.store.ResolvingStore
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Instant

internal class RealClaimLedger(
    private val process: String,
    store: ObjectStore,
    resolving: ResolvingStore,
    time: TimeSource,
    private val settings: ClaimSettings,
) : ClaimLedger {
    private val numbers = AtomicLong()
    private val shards = List(settings.shardCount) { shard ->
        LedgerShard(ShardMachine(shard, process, settings), store, resolving, time)
    }

    override suspend fun claim(request: ClaimRequest, now: Instant): ClaimDecision {
        val id = ClaimId("$process/${numbers.incrementAndGet()}")
        val key = KeyHash.of(request.organisation, request.key)
        val ask = ClaimAsk(id, key, request.bodyHash, request.firstSend, now)
        return shardOf(key).claim(ask)
    }

    override fun record(permit: SendPermit, outcome: CallOutcome, now: Instant) {
        shardOf(permit.key).record(permit, outcome, now)
    }

    override suspend fun pump(): Unit = coroutineScope {
        shards.forEach { launch { it.run() } }
    }

    override fun state(): ClaimLedgerState =
        ClaimLedgerState(shards.map { it.state() }.toImmutableList())

    private fun shardOf(key: KeyHash): LedgerShard = shards[key.shard(settings.shardCount)]
}
