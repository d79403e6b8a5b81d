package burdockspread.limit

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TokenBucketTest {
    private val bucket = TokenBucket()

    @Operation
    fun take(): Boolean = bucket.tryTake(1.0, 1.0, rate = 1.0, capacity = 3.0, nowMillis = 0)

    @Operation
    fun refund() = bucket.charge(-1.0)

    @Test
    fun `concurrent takes never exceed the capacity`() = ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(300)
        .threads(2)
        .actorsPerThread(3)
        .check(this::class)

    @Test
    fun `lowered rate takes effect immediately`() {
        repeat(10) { take(0, rate = 10.0) }
        assertTrue(!take(500, rate = 1.0))
        assertTrue(take(1_000, rate = 1.0))
        assertEquals(1_000, bucket.millisUntil(1.0, 1.0, 1.0, 1_000))
    }

    private fun take(nowMillis: Long, rate: Double): Boolean =
        bucket.tryTake(1.0, 1.0, rate, rate, nowMillis)
}
