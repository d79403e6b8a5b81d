package burdockspread.limit

import burdockspread.id.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals

class ShareLedgerTest {
    private val ledger = ShareLedger<String>(createdMillis = 0, lifetimeMillis = 9_000)

    @Test
    fun `reduced share is granted to others only after its holder obeys`() {
        assertEquals(900, grant("a", demand = 900, at = 10_000).amount)
        val reduced = grant("a", demand = 100, at = 11_000)
        assertEquals(100, reduced.amount)
        assertEquals(0, grant("b", demand = 800, at = 11_100).amount)
        grant("a", demand = 100, at = 11_200, obeyed = reduced.number)
        assertEquals(800, grant("b", demand = 800, at = 11_300).amount)
    }

    @Test
    fun `share of a silent holder is granted to others only after its lifetime`() {
        grant("a", demand = 900, at = 10_000)
        assertEquals(0, grant("b", demand = 900, at = 18_900).amount)
        assertEquals(900, grant("b", demand = 900, at = 19_100).amount)
    }

    @Test
    fun `new ledger only confirms reported holdings for one lifetime`() {
        assertEquals(300, grant("a", demand = 900, at = 100, holds = 300).amount)
        assertEquals(0, grant("b", demand = 900, at = 200).amount)
    }

    private fun grant(
        holder: String,
        demand: Int,
        at: Long,
        holds: Int = 0,
        obeyed: Long = 0,
    ): ShareGrant {
        val report = ShareReport(OrganisationId("o"), demand, holds, obeyed)
        return ledger.grant(holder, report, total = 900, untilMillis = Long.MAX_VALUE, at)
    }
}
