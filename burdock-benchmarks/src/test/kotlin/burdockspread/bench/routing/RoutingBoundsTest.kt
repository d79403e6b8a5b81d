package burdockspread.bench.routing

import burdockspread.route.RouteOptions
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RoutingBoundsTest {
    private val results = HashMap<String, RoutingResult>()

    @Test
    fun `below capacity the p95 first token meets its objective at any report delay`() {
        for (delay in listOf(0.1, 1.0, 5.0)) {
            val result = run("chooser", 0.8, delay)
            assertTrue(result.p95Millis <= FIRST_TOKEN_MILLIS, "$delay s: $result")
            assertTrue(result.tokenGapP95Millis <= TOKEN_GAP_MILLIS, "$delay s: $result")
        }
    }

    @Test
    fun `no baseline has a lower first-token latency or a higher cache hit rate`() {
        val chooser = run("chooser", 0.8, 1.0)
        ROUTING_POLICIES.filter { it.name != "chooser" }.forEach {
            val other = run(it.name, 0.8, 1.0)
            assertTrue(chooser.p95Millis <= other.p95Millis, "${it.name}: $other, $chooser")
            assertTrue(chooser.cacheHitRate >= 2 * other.cacheHitRate, "${it.name}: $other")
        }
        assertTrue(chooser.spread < run("random", 0.8, 1.0).spread)
    }

    @Test
    fun `load jitter keeps many hosts with stale reports from herding`() {
        val without = RoutingPolicy.Factory { host, engines, simulation ->
            ChooserPolicy(host, engines, simulation, true, RouteOptions(loadJitter = 0.0))
        }
        val plain = RoutingTrial(without, 0.8, 5.0, Fleet.MANY_HOSTS).run()
        val spread = RoutingTrial(factory("chooser"), 0.8, 5.0, Fleet.MANY_HOSTS).run()
        assertTrue(spread.p95Millis < plain.p95Millis, "$spread, without $plain")
    }

    @Test
    fun `admission control keeps goodput flat from one to five times the capacity`() {
        val full = AdmissionTrial(admissionEnabled = true, 1.0).run()
        val over = AdmissionTrial(admissionEnabled = true, 5.0).run()
        assertTrue(over.goodput >= 0.85 * full.goodput, "$full, $over")
        val without = AdmissionTrial(admissionEnabled = false, 5.0).run()
        assertTrue(without.goodput < 0.5 * over.goodput, "$without")
    }

    @Test
    fun `a pool that loses half its targets recovers without a retry storm`() {
        val budgeted = RetryTrial(budgeted = true).run()
        val without = RetryTrial(budgeted = false).run()
        assertTrue(budgeted.attemptsPerRequest <= 1.25, "$budgeted")
        assertTrue(budgeted.recoverySeconds <= 5, "$budgeted")
        assertTrue(without.attemptsPerRequest > 2 * budgeted.attemptsPerRequest, "$without")
        assertTrue(without.recoverySeconds > 2 * budgeted.recoverySeconds, "$without")
    }

    @Test
    fun `a run with the same seed gives the same results`() {
        val again = RoutingTrial(factory("chooser"), 0.8, 1.0).run()
        assertEquals(run("chooser", 0.8, 1.0), again)
    }

    private fun run(name: String, load: Double, delay: Double): RoutingResult =
        results.getOrPut("$name/$load/$delay") { RoutingTrial(factory(name), load, delay).run() }

    private fun factory(name: String) = ROUTING_POLICIES.first { it.name == name }.factory

    private companion object {
        const val FIRST_TOKEN_MILLIS = 640
        const val TOKEN_GAP_MILLIS = 64
    }
}
