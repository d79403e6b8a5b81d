package burdockspread.forward.load

import burdockspread.forward.Fixture
import burdockspread.id.HostId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentMapOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerLoadsTest {
    private val now = Fixture.START
    private val loads = PeerLoads()
    private val first = TargetId("r1")
    private val second = TargetId("r2")

    @Test
    fun `the loads of all hosts are summed`() {
        loads.onReport(HostId("a"), 1, mapOf(first to HostLoad(2)), now)
        loads.onReport(HostId("b"), 1, mapOf(first to HostLoad(1), second to HostLoad(1)), now)
        assertEquals(mapOf(first to HostLoad(3), second to HostLoad(1)), loads.total(now))
    }

    @Test
    fun `a reordered message is ignored`() {
        loads.onReport(HostId("a"), 5, mapOf(first to HostLoad(2)), now)
        loads.onReport(HostId("a"), 4, mapOf(first to HostLoad(9)), now)
        assertEquals(mapOf(first to HostLoad(2)), loads.total(now))
    }

    @Test
    fun `a stopped host expires and a restarted one counts again`() {
        loads.onReport(HostId("a"), 5, mapOf(first to HostLoad(2)), now)
        assertNull(loads.total(now + 6.seconds))
        loads.onReport(HostId("a"), 1, mapOf(first to HostLoad(1)), now + 7.seconds)
        assertEquals(mapOf(first to HostLoad(1)), loads.total(now + 7.seconds))
    }

    @Test
    fun `changes are sent soon and unchanged loads at the refresh interval`() {
        val own = persistentMapOf(first to HostLoad(1))
        assertTrue(loads.isDue(own, now))
        loads.onSent(own, peers = 3, bytes = 100, now)
        assertFalse(loads.isDue(own, now + 1.seconds))
        assertTrue(loads.isDue(own, now + 2.seconds))
        val more = persistentMapOf(first to HostLoad(2))
        assertFalse(loads.isDue(more, now + 50.milliseconds))
        assertTrue(loads.isDue(more, now + 100.milliseconds))
    }

    @Test
    fun `large reports in a large domain are sent less often`() {
        loads.onSent(persistentMapOf(first to HostLoad(1)), peers = 30, bytes = 600, now)
        val more = persistentMapOf(first to HostLoad(2))
        assertFalse(loads.isDue(more, now + 1_500.milliseconds))
        assertTrue(loads.isDue(more, now + 2.seconds))
    }
}
