package burdockspread.forward.relay

import burdockspread.forward.Fixture
import burdockspread.id.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RelayAssignmentTest {
    private val now = Fixture.START

    @Test
    fun `a host that knows no others watches the store`() {
        assertTrue(RelayAssignment(HostId("h1")).relays(now).isEmpty())
    }

    @Test
    fun `one host of a small domain watches, two of a large one, and all agree on them`() {
        assertEquals(1, watching(hosts(5)).size)
        assertEquals(2, watching(hosts(30)).size)
        val followed = hosts(30).map { it.relays(now).toSet() }.filter { it.isNotEmpty() }.toSet()
        assertEquals(1, followed.size)
    }

    @Test
    fun `followers are split between the relays`() {
        val first = hosts(30).mapNotNull { it.relays(now).firstOrNull() }.groupBy { it }
        assertEquals(listOf(14, 14), first.values.map { it.size })
    }

    @Test
    fun `the next host replaces a relay that does not answer`() {
        val hosts = hosts(5)
        val relay = hosts.first { it.relays(now).isNotEmpty() }.relays(now).single()
        hosts.forEach { it.onFailed(relay, now) }
        val next = hosts.filter { it.relays(now).isNotEmpty() }.flatMap { it.relays(now) }.toSet()
        assertEquals(1, next.size)
        assertNotEquals(relay, next.single())
    }

    @Test
    fun `a failed relay is retried with backoff until it answers`() {
        val host = hosts(5).first { it.relays(now).isNotEmpty() }
        val relay = host.relays(now).single()
        host.onFailed(relay, now)
        assertFalse(relay in host.relays(now + 1.seconds))
        assertEquals(listOf(relay), host.relays(now + 2.seconds))
        host.onFailed(relay, now + 2.seconds)
        assertFalse(relay in host.relays(now + 5.seconds))
        assertEquals(listOf(relay), host.relays(now + 6.seconds))
        host.onFollowed(relay)
        host.onFailed(relay, now + 7.seconds)
        assertEquals(listOf(relay), host.relays(now + 9.seconds))
    }

    private fun hosts(count: Int): List<RelayAssignment> {
        val ids = (1..count).map { HostId("h$it") }
        return ids.map { id -> RelayAssignment(id).apply { onHosts(ids) } }
    }

    private fun watching(hosts: List<RelayAssignment>) = hosts.filter { it.relays(now).isEmpty() }
}
