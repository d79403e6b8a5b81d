package burdockspread.bench.document

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Limits at the target fleet size: edits apply within 4 s, all control traffic takes 28 KB/s per
 * host, and the store takes 2,000 reads and 300 writes a second.
 */
class DocumentBoundsTest {
    private val size = FleetSize.ALL.last()
    private val cost = EditCostRun(size, SEED).run(count = 5)

    @Test
    fun `edit applies on 520 hosts within 4 s using a quarter of the control traffic`() {
        val bytes = cost.entryBytes.toInt()
        val result = FanOut(size, Delivery.RELAYS, bytes, STORE_BYTES_PER_SECOND, SEED)
            .run(FleetSize.EDITS_PER_SECOND, seconds = 120)
        assertTrue(result.max <= 4_000, "${result.max} ms")
        assertTrue(result.busiestBytesPerSecond <= 28_000 / 4, "$result")
    }

    @Test
    fun `edits use a hundredth of the store writes and watches a twentieth of the reads`() {
        assertTrue(cost.writes * FleetSize.EDITS_PER_SECOND <= 3, "$cost")
        assertTrue(size.domains * FanOut.RELAYS_PER_DOMAIN <= 2_000 / 20)
        assertEquals(0.0, cost.relayReads, "a relay must read nothing besides its watch")
        assertEquals(1.0, cost.reads)
    }

    @Test
    fun `uncompressed sections exceed the control traffic limit`() {
        val bytes = cost.plainBytes.toInt()
        val result = FanOut(size, Delivery.RELAYS, bytes, STORE_BYTES_PER_SECOND, SEED)
            .run(FleetSize.EDITS_PER_SECOND, seconds = 30)
        assertTrue(result.busiestBytesPerSecond > 28_000 / 4)
    }

    private companion object {
        const val SEED = 5
        const val STORE_BYTES_PER_SECOND = 50_000_000.0
    }
}
