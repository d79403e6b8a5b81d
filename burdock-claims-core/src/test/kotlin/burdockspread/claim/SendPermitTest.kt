package burdockspread.claim

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.test.Test
import kotlin.time.Instant

class SendPermitTest {
    private val now = Instant.fromEpochSeconds(1)
    private val permit = SendPermit(ClaimId("host/1"), KeyHash(0, 0), now)

    @Operation
    fun trySend(): Boolean = permit.trySend(now)

    @Operation
    fun close(): Boolean = permit.close()

    @Test
    fun `at most one thread sends and none after the permit is closed`() {
        ModelCheckingOptions()
            .iterations(5)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .check(this::class)
    }
}
