package burdockspread.document.relay

import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** A store with random call delays, so that the calls of several clients interleave. */
internal class DelayedStore(private val store: ObjectStore, private val random: Random) :
    ObjectStore by store {
    override suspend fun get(key: ObjectKey): ReadResult = withRandomDelays { store.get(key) }

    override suspend fun list(kind: String) = withRandomDelays { store.list(kind) }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult = withRandomDelays { store.put(key, value, condition, writeId) }

    private suspend fun <T> withRandomDelays(call: suspend () -> T): T {
        delay(random.nextInt(20).milliseconds)
        return call().also { delay(random.nextInt(20).milliseconds) }
    }
}
