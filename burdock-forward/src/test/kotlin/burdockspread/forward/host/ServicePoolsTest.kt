package burdockspread.forward.host

import burdockspread.forward.load.LoadPolicy
import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.wire.settings.RetrySettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Instant

class ServicePoolsTest {
    private var hosts = 1
    private val pools = ServicePools(
        FailureDomainId("north"),
        seed = 1,
        RetrySettings.newBuilder().setRatio(0.8).setSlack(239.0).build(),
        hosts = { hosts },
        LoadPolicy.factory(),
        lossListener = {},
    )
    private val budget = pools.pool(ServiceId("drafts")).budget

    // Guards against a hundred hosts that each took a part of the slack for eight.
    @Test
    fun `the part of the retries that all hosts share follows their number`() {
        hosts = 105
        pools.poll(Instant.fromEpochSeconds(0))
        val granted = generateSequence { budget.tryAcquire() }.takeWhile { it }.count()
        assertEquals(1, granted)
        hosts = 14
        pools.poll(Instant.fromEpochSeconds(1))
        repeat(100) { budget.onFirstAttempt() }
        assertEquals(8, generateSequence { budget.tryAcquire() }.takeWhile { it }.count())
    }
}
