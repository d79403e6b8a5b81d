/** A store with a limit on the rate of writes. */
package burdockspread.bench.claims

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Limits writes to [WRITES_PER_SECOND] by a token bucket and counts all calls. */
internal class RateLimitedStore(
    private val fake: FakeObjectStore,
    private val now: () -> Instant,
) : ObjectStore by fake {
    var calls = 0L
        private set
    var reads = 0L
        private set
    var writes = 0L
        private set
    var conflicts = 0L
        private set
    var refusals = 0L
        private set
    var bytes = 0L
        private set
    private var tokens = BURST
    private var refilledAt: Instant? = null

    override suspend fun get(key: ObjectKey): ReadResult {
        calls++
        reads++
        return fake.get(key)
    }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult {
        calls++
        if (!takeToken()) {
            refusals++
            return WriteResult.Refused("write rate limit exceeded")
        }
        writes++
        bytes += value.length
        val result = fake.put(key, value, condition, writeId)
        if (result is WriteResult.Conflict) conflicts++
        return result
    }

    private fun takeToken(): Boolean {
        val elapsed = refilledAt?.let { now() - it } ?: 0.seconds
        refilledAt = now()
        tokens = minOf(BURST, tokens + elapsed / 1.seconds * WRITES_PER_SECOND)
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    companion object {
        const val WRITES_PER_SECOND = 300
        private const val BURST = 30.0
    }
}
