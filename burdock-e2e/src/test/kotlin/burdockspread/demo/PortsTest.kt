package burdockspread.demo

import kotlin.test.Test
import kotlin.test.assertEquals

class PortsTest {
    @Test
    fun `no address is given out twice`() {
        // Of some 28,000 ports the system repeats a few among 2,000 by chance.
        val given = List(2_000) { Ports.freeAddress() }
        assertEquals(given.size, given.toSet().size)
    }
}
