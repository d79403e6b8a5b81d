/** Tests of orders to targets: floors, limits, late orders and old holders. */
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
    private fun lease(world: FakeTargets, token: Long, left: Duration = 10.seconds) =
        HeldLease(token, world.now + left)

    private fun FakeTargets.run(
        seconds: Int,
        placement: PlacementReconciler,
        token: Long,
        onStep: () -> Unit = {},
    ) = repeat(seconds) {
        step()
        carryOut(placement, placement.tick(lease(this, token), now))
        onStep()
    }

    @Test
    fun `a rolling change keeps the floor and the limit of loads and ends as the document says`() {
        for (seed in 1..40) {
            val world = FakeTargets(seed, 10) { it % 2 == 0 }
            world.faults = 0.3
            val placement = PlacementReconciler.factory.create(PlacementSettings())
            placement.onDesired(world.desired("v2", floor = 7, maxLoads = 2))
            world.run(900, placement, 1) {
                assertTrue(world.targets.count { it.serves } >= 7, "seed $seed: floor")
                assertTrue(world.targets.count { it.loading != null } <= 2, "seed $seed: loads")
            }
            assertTrue(world.targets.all { it.version == "v2" }, "seed $seed")
            assertEquals(0, placement.status.behind)
        }
    }

    @Test
    fun `without room above the floor nothing is taken down and the status says so`() {
        val world = FakeTargets(1, 3) { true }
        val placement = PlacementReconciler.factory.create(PlacementSettings())
        placement.onDesired(world.desired("v2", floor = 3, maxLoads = 3))
        world.run(60, placement, 1)
        assertTrue(world.targets.all { it.version == "v1" && it.serves })
        assertEquals(3, placement.status.heldByFloor)
    }

    @Test
    fun `late orders of an old holder are refused or undone within a minute`() {
        for (seed in 1..40) {
            val world = FakeTargets(seed, 6) { it < 3 }
            val old = PlacementReconciler.factory.create(PlacementSettings())
            old.onDesired(world.desired("v0", floor = 0, maxLoads = 6))
            repeat(5) {
                world.step()
                world.targets.forEach { old.onObserved(it.observe(), world.now) }
            }
            val held = ArrayList<OrderEffect.Send>()
            repeat(10) {
                world.step()
                world.targets.forEach { old.onObserved(it.observe(), world.now) }
                held += old.tick(lease(world, 1), world.now).filterIsInstance<OrderEffect.Send>()
            }
            assertEquals(6, held.distinctBy { it.target }.size)
            val successor = PlacementReconciler.factory.create(PlacementSettings())
            successor.onDesired(world.desired("v2", floor = 0, maxLoads = 6))
            world.run(60, successor, 2)
            val late = held.associate { it.target to world.sendLate(it) }
            for (target in world.targets) {
                val expected = if (target.checksToken) OrderResult.FENCED else OrderResult.ACCEPTED
                assertEquals(expected, late[target.id])
            }
            world.run(60, successor, 2)
            assertTrue(world.targets.all { it.version == "v2" && it.serves }, "seed $seed")
        }
    }

    @Test
    fun `a successor waits out orders in flight at targets that ignore tokens`() {
        val world = FakeTargets(2, 2) { it == 0 }
        val placement =
            PlacementReconciler.factory.create(PlacementSettings(orderTimeout = 5.seconds))
        placement.onDesired(world.desired("v2", floor = 0, maxLoads = 2))
        val sends = ArrayList<Pair<Instant, OrderEffect.Send>>()
        val start = world.now + 1.seconds
        repeat(15) {
            world.step()
            val effects = placement.tick(lease(world, 1), world.now)
            sends += effects.filterIsInstance<OrderEffect.Send>().map { world.now to it }
            world.targets.forEach { placement.onObserved(it.observe(), world.now) }
        }
        val first = sends.groupBy { it.second.target.value }.mapValues { it.value.first().first }
        assertTrue(first.getValue("t0") <= start + 2.seconds)
        assertTrue(first.getValue("t1") >= start + 5.seconds)
    }

    @Test
    fun `no order starts that could arrive after the lease and none without a lease`() {
        val world = FakeTargets(3, 2) { false }
        val placement =
            PlacementReconciler.factory.create(PlacementSettings(orderTimeout = 3.seconds))
        placement.onDesired(world.desired("v2", floor = 0, maxLoads = 2))
        repeat(20) {
            world.step()
            world.targets.forEach { placement.onObserved(it.observe(), world.now) }
            val effects = placement.tick(lease(world, 1, left = 3.seconds), world.now)
            assertTrue(effects.none { it is OrderEffect.Send })
        }
        assertTrue(placement.tick(null, world.now).isEmpty())
    }

    @Test
    fun `a holder that is fenced stops until it has a new token`() {
        val world = FakeTargets(4, 1) { true }
        world.targets.single().highestToken = 5
        val placement = PlacementReconciler.factory.create(PlacementSettings())
        placement.onDesired(world.desired("v2", floor = 0, maxLoads = 1))
        world.run(30, placement, 4)
        assertEquals("v1", world.targets.single().version)
        assertTrue(placement.tick(lease(world, 4), world.now).isEmpty())
        world.run(40, placement, 6)
        assertEquals("v2", world.targets.single().version)
    }

    @Test
    fun `a target that fell silent counts neither as serving nor gets orders`() {
        val world = FakeTargets(5, 4) { true }
        val placement = PlacementReconciler.factory.create(PlacementSettings())
        placement.onDesired(world.desired("v1", floor = 2, maxLoads = 4))
        world.run(20, placement, 1)
        placement.onDesired(world.desired("v2", floor = 2, maxLoads = 4))
        val sent = ArrayList<OrderEffect>()
        repeat(60) {
            world.step()
            world.targets.take(2).forEach { placement.onObserved(it.observe(), world.now) }
            if (it > 35) sent += placement.tick(lease(world, 1), world.now)
        }
        assertTrue(sent.all { it is OrderEffect.ReadBack })
        assertEquals(2, placement.status.unseen)
    }

    @Test
    fun `shares of loads never pass the limit and every domain gets its turn`() {
        val random = Random(6)
        repeat(200) {
            val domains = List(random.nextInt(1, 40)) { FailureDomainId("d$it") }
            val targets = domains.associateWith { random.nextInt(1, 400) }.toImmutableMap()
            val shares = ModelLoadQuota(random.nextInt(1, 60), targets)
            val served = HashSet<FailureDomainId>()
            repeat(50) { turn ->
                val now = Instant.fromEpochSeconds(0) + 10.minutes * turn
                val split = domains.associateWith { shares.quota(it, now) }
                assertTrue(split.values.sum() <= shares.limit)
                served += split.filterValues { it > 0 }.keys
                val late = domains.sumOf { shares.quota(it, now + 9.minutes) }
                assertTrue(late == 0 || shares.limit >= domains.size)
            }
            assertEquals(domains.toSet(), served)
        }
    }
}
