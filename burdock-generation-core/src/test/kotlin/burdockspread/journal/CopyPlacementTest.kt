package burdockspread.journal

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CopyPlacementTest {
    private val locations = (0 until 520).map {
        HostLocation(HostId("h$it"), FailureDomainId("d${it % 38}"), "r${it % 38 / 4}")
    }

    @Test
    fun `holders are in other domains of the region and among the candidates`() {
        val placement = CopyPlacement(locations, "r0")
        repeat(500) { n ->
            val owner = FailureDomainId("d${n % 4}")
            val holders = placement.holders(request(n), owner, 2)
            val domains = holders.map { holder -> locations.first { it.host == holder } }
            assertEquals(2, domains.distinctBy { it.domain }.size)
            assertTrue(domains.none { it.domain == owner } && domains.all { it.region == "r0" })
            assertTrue(placement.candidates(request(n), 2).containsAll(holders))
        }
    }

    @Test
    fun `after a host dies a spare candidate becomes the holder and other holders stay`() {
        val owner = FailureDomainId("d0")
        var moved = 0
        repeat(500) { n ->
            val before = CopyPlacement(locations, "r0").holders(request(n), owner, 1)
            val queried = CopyPlacement(locations, "r0").candidates(request(n), 1)
            val survivors = locations.filter { it.host != HostId("h1") }
            val after = CopyPlacement(survivors, "r0").holders(request(n), owner, 1)
            assertTrue(queried.containsAll(after) || before != after)
            if (before != after) moved++
        }
        assertTrue(moved in 1..50, "$moved of 500 moved")
    }

    @Test
    fun `a region with too few domains uses holders of another region`() {
        val placement = CopyPlacement(locations, "r9")
        val holders = placement.holders(request(), FailureDomainId("d36"), 2)
        assertEquals(2, holders.size)
        assertEquals("r9", locations.first { it.host == holders.first() }.region)
    }
}
