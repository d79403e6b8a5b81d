/** Tests orders to targets: floors, load limits, delayed orders and former holders. */
package burdockspread.order

import burdockspread.duty.HeldLease
import burdockspread.id.FailureDomainId
import kotlinx.collections.immutable.toImmutableMap
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PlacementTest {
    private fun lease(simulation: FakeTargets, token: Long, left: Duration = 10.seconds) =
        HeldLease(token, simulation.now + left)

    private fun FakeTargets.run(
        seconds: Int,
        placement: PlacementReconciler,
        token: Long,
        onStep: () -> Unit = {},
    ) = repeat(seconds) {
        step()
        execute(placement, placement.tick(lease(this, token), now))
        onStep()
    }

    @Test
    fun `rolling change respects the floor and the load limit and reaches the desired state`() {
        for (seed in 1..40) {
            val simulation = FakeTargets(seed, 10) { it % 2 == 0 }
            simulation.faults = 0.3
            val placement = PlacementReconciler.factory.create(PlacementSettings())
            placement.onDesired(simulation.desired("v2", floor = 7, maxLoads = 2))
            simulation.run(900, placement, 1) {
                assertTrue(simulation.targets.count { it.serves } >= 7, "seed $seed: floor")
                assertTrue(
                    simulation.targets.count { it.loading != null } <= 2,
                    "seed $seed: loads",
                )
            }
            assertTrue(simulation.targets.all { it.version == "v2" }, "seed $seed")
            assertEquals(0, placement.status.behind)
        }
    }

    @Test
    fun `no target is interrupted at the floor and the status reports it`() {
        val simulation = FakeTargets(1, 3) { true }
        val placement = PlacementReconciler.factory.create(PlacementSettings())
        placement.onDesired(simulation.desired("v2", floor = 3, maxLoads = 3))
        simulation.run(60, placement, 1)
        assertTrue(simulation.targets.all { it.version == "v1" && it.serves })
        assertEquals(3, placement.status.heldByFloor)
    }

    @Test
    fun `delayed orders of a former holder are rejected or reverted within a minute`() {
        for (seed in 1..40) {
            val simulation = FakeTargets(seed, 6) { it < 3 }
            val formerHolder = PlacementReconciler.factory.create(PlacementSettings())
            formerHolder.onDesired(simulation.desired("v0", floor = 0, maxLoads = 6))
            repeat(5) {
                simulation.step()
                simulation.targets.forEach { formerHolder.onObserved(it.observe(), simulation.now) }
            }
            val delayedOrders = ArrayList<OrderEffect.Send>()
            repeat(10) {
                simulation.step()
                simulation.targets.forEach { formerHolder.onObserved(it.observe(), simulation.now) }
                delayedOrders += formerHolder.tick(lease(simulation, 1), simulation.now)
                    .filterIsInstance<OrderEffect.Send>()
            }
            assertEquals(6, delayedOrders.distinctBy { it.target }.size)
            val successor = PlacementReconciler.factory.create(PlacementSettings())
            successor.onDesired(simulation.desired("v2", floor = 0, maxLoads = 6))
            simulation.run(60, successor, 2)
            val lateResults = delayedOrders.associate { it.target to simulation.sendLate(it) }
            for (target in simulation.targets) {
                val expected = if (target.checksToken) OrderResult.FENCED else OrderResult.ACCEPTED
                assertEquals(expected, lateResults[target.id])
            }
            simulation.run(60, successor, 2)
            assertTrue(simulation.targets.all { it.version == "v2" && it.serves }, "seed $seed")
        }
    }

    @Test
    fun `successor waits for orders in flight at targets that ignore tokens`() {
        val simulation = FakeTargets(2, 2) { it == 0 }
        val placement =
            PlacementReconciler.factory.create(PlacementSettings(orderTimeout = 5.seconds))
        placement.onDesired(simulation.desired("v2", floor = 0, maxLoads = 2))
        val sends = ArrayList<Pair<Instant, OrderEffect.Send>>()
        val start = simulation.now + 1.seconds
        repeat(15) {
            simulation.step()
            val effects = placement.tick(lease(simulation, 1), simulation.now)
            sends += effects.filterIsInstance<OrderEffect.Send>().map { simulation.now to it }
            simulation.targets.forEach { placement.onObserved(it.observe(), simulation.now) }
        }
        val first = sends.groupBy { it.second.target.value }.mapValues { it.value.first().first }
        assertTrue(first.getValue("t0") <= start + 2.seconds)
        assertTrue(first.getValue("t1") >= start + 5.seconds)
    }

    @Test
    fun `no order is sent that could arrive after the lease expires or without a lease`() {
        val simulation = FakeTargets(3, 2) { false }
        val placement =
            PlacementReconciler.factory.create(PlacementSettings(orderTimeout = 3.seconds))
        placement.onDesired(simulation.desired("v2", floor = 0, maxLoads = 2))
        repeat(20) {
            simulation.step()
            simulation.targets.forEach { placement.onObserved(it.observe(), simulation.now) }
            val effects = placement.tick(lease(simulation, 1, left = 3.seconds), simulation.now)
            assertTrue(effects.none { it is OrderEffect.Send })
        }
        assertTrue(placement.tick(null, simulation.now).isEmpty())
    }

    @Test
    fun `fenced holder stops until it has a new token`() {
        val simulation = FakeTargets(4, 1) { true }
        simulation.targets.single().highestToken = 5
        val placement = PlacementReconciler.factory.create(PlacementSettings())
        placement.onDesired(simulation.desired("v2", floor = 0, maxLoads = 1))
        simulation.run(30, placement, 4)
        assertEquals("v1", simulation.targets.single().version)
        assertTrue(placement.tick(lease(simulation, 4), simulation.now).isEmpty())
        simulation.run(40, placement, 6)
        assertEquals("v2", simulation.targets.single().version)
    }

    @Test
    fun `silent target does not count as serving and gets no orders`() {
        val simulation = FakeTargets(5, 4) { true }
        val placement = PlacementReconciler.factory.create(PlacementSettings())
        placement.onDesired(simulation.desired("v1", floor = 2, maxLoads = 4))
        simulation.run(20, placement, 1)
        placement.onDesired(simulation.desired("v2", floor = 2, maxLoads = 4))
        val sent = ArrayList<OrderEffect>()
        repeat(60) {
            simulation.step()
            simulation.targets.take(2)
                .forEach { placement.onObserved(it.observe(), simulation.now) }
            if (it > 35) sent += placement.tick(lease(simulation, 1), simulation.now)
        }
        assertTrue(sent.all { it is OrderEffect.ReadBack })
        assertEquals(2, placement.status.unseen)
    }

    @Test
    fun `load quotas never exceed the limit and every domain gets a time slice`() {
        val random = Random(6)
        repeat(200) {
            val domains = List(random.nextInt(1, 40)) { FailureDomainId("d$it") }
            val targets = domains.associateWith { random.nextInt(1, 400) }.toImmutableMap()
            val quotas = ModelLoadQuota(random.nextInt(1, 60), targets)
            val servedDomains = HashSet<FailureDomainId>()
            repeat(50) { slice ->
                val now = Instant.fromEpochSeconds(0) + 10.minutes * slice
                val quotasByDomain = domains.associateWith { quotas.quota(it, now) }
                assertTrue(quotasByDomain.values.sum() <= quotas.limit)
                servedDomains += quotasByDomain.filterValues { it > 0 }.keys
                val lateLoads = domains.sumOf { quotas.quota(it, now + 9.minutes) }
                assertTrue(lateLoads == 0 || quotas.limit >= domains.size)
            }
            assertEquals(domains.toSet(), servedDomains)
        }
    }
}
