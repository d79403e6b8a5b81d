package burdockspread.journal

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CopyPlacementTest {
    private val places = (0 until 520).map {
        HostLocation(HostId("h$it"), FailureDomainId("d${it % 38}"), "r${it % 38 / 4}")
    }

    @Test
    fun `holders are in other domains of the region and any host finds them`() {
        val order = CopyPlacement(places, "r0")
        repeat(500) { n ->
            val owner = FailureDomainId("d${n % 4}")
            val holders = order.holders(request(n), owner, 2)
            val domains = holders.map { holder -> places.first { it.host == holder } }
            assertEquals(2, domains.distinctBy { it.domain }.size)
            assertTrue(domains.none { it.domain == owner } && domains.all { it.region == "r0" })
            assertTrue(order.candidates(request(n), 2).containsAll(holders))
        }
    }

    @Test
    fun `after a host dies a spare candidate is the new holder and others stay`() {
        val owner = FailureDomainId("d0")
        var moved = 0
        repeat(500) { n ->
            val before = CopyPlacement(places, "r0").holders(request(n), owner, 1)
            val asked = CopyPlacement(places, "r0").candidates(request(n), 1)
            val left = places.filter { it.host != HostId("h1") }
            val after = CopyPlacement(left, "r0").holders(request(n), owner, 1)
            assertTrue(asked.containsAll(after) || before != after)
            if (before != after) moved++
        }
        assertTrue(moved in 1..50, "$moved of 500 moved")
    }

    @Test
    fun `a region with too few domains takes holders of another`() {
        val order = CopyPlacement(places, "r9")
        val holders = order.holders(request(), FailureDomainId("d36"), 2)
        assertEquals(2, holders.size)
        assertEquals("r9", places.first { it.host == holders.first() }.region)
    }
}
