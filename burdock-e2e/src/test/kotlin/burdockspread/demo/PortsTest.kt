package burdockspread.demo

import kotlin.test.Test
import kotlin.test.assertEquals

class PortsTest {
    @Test
    fun `no address is allocated twice`() {
        // The OS has about 28,000 ephemeral ports and repeats a few in 2,000 allocations by chance.
        val allocated = List(2_000) { Ports.freeAddress() }
        assertEquals(allocated.size, allocated.toSet().size)
    }
}
