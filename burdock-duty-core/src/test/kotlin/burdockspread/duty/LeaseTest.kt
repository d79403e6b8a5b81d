/** Tests of leases over random schedules and of each failure by name. */
package burdockspread.duty

import burdockspread.fakes.store.StoreFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LeaseTest {
    @Test
    fun `never two holders and never one token twice over random schedules`() {
        var acquisitions = 0
        for (seed in 1..150) {
            val world = FakeCandidates(seed, 4)
            val random = world.random
            val faulty = StoreFault.entries
            world.store.faults = {
                if (random.nextInt(4) == 0) faulty.random(random) else StoreFault.NONE
            }
            val past = ArrayList<FakeCandidate>()
            world.run(180.seconds) {
                if (random.nextInt(40) == 0) world.store.deliverDelayedCalls()
                if (random.nextInt(60) == 0) pause(world)
                if (random.nextInt(300) == 0) restart(world, past)
                if (random.nextInt(100) == 0) {
                    world.candidates.random(random).candidacy = Candidacy.entries.random(random)
                }
            }
            val tokens = (world.candidates + past).flatMap { it.tokens }
            assertEquals(tokens.distinct(), tokens, "seed $seed")
            acquisitions += tokens.size
        }
        assertTrue(acquisitions > 300, "$acquisitions acquisitions")
    }

    private fun pause(world: FakeCandidates) {
        val candidate = world.candidates.random(world.random)
        candidate.pausedUntil = world.at + world.random.nextInt(1, 40).seconds
    }

    private fun restart(world: FakeCandidates, past: MutableList<FakeCandidate>) {
        val index = world.random.nextInt(world.candidates.size)
        past += world.candidates[index]
        world.candidates[index] = world.create(index, incarnation = 2L + past.size)
    }

    @Test
    fun `a paused holder that wakes finds itself past its deadline before it does anything`() {
        val world = FakeCandidates(1, 2)
        world.run(10.seconds)
        val first = world.holders().single()
        first.pausedUntil = world.at + 60.seconds
        world.run(40.seconds)
        val second = world.holders().single()
        assertNotEquals(first, second)
        assertNull(first.lease.held(first.clock(world.at)))
        assertTrue(second.tokens.max() > first.tokens.max())
    }

    @Test
    fun `a candidate takes over within the duration, the drift and one poll`() {
        val world = FakeCandidates(2, 2)
        world.run(10.seconds)
        val first = world.holders().single()
        first.pausedUntil = 1_000.seconds
        val stopped = world.at
        while (world.holders().singleOrNull().let { it == null || it == first }) {
            world.run(0.1.seconds)
        }
        assertTrue(world.at - stopped <= 22.seconds, "${world.at - stopped}")
    }

    @Test
    fun `a holder whose renewals take effect without answers keeps the lease`() {
        val world = FakeCandidates(3, 2)
        world.run(10.seconds)
        val holder = world.holders().single()
        var writes = 0L
        world.store.faults = {
            val isWrite = world.store.writes.get() > writes
            writes = world.store.writes.get()
            if (isWrite) StoreFault.ANSWER_LOST else StoreFault.NONE
        }
        world.run(120.seconds) { assertEquals(holder, world.holders().singleOrNull()) }
        assertEquals(1, holder.tokens.size)
    }

    @Test
    fun `in an outage the lease lapses and comes back with a higher token`() {
        val world = FakeCandidates(4, 3)
        world.run(10.seconds)
        assertEquals(1, world.holders().size)
        world.breakStore(StoreFault.CALL_LOST)
        world.run(20.seconds)
        assertEquals(0, world.holders().size)
        world.breakStore(StoreFault.NONE)
        world.run(10.seconds)
        val again = world.holders().single()
        assertTrue(again.tokens.max() > 1)
    }

    @Test
    fun `a renewal that arrives late does not revive a lease that was taken over`() {
        val world = FakeCandidates(5, 2)
        world.run(10.seconds)
        val first = world.holders().single()
        world.breakStore(StoreFault.CALL_LATE)
        world.run(6.seconds)
        world.breakStore(StoreFault.NONE)
        first.pausedUntil = world.at + 60.seconds
        world.run(40.seconds)
        val second = world.holders().single()
        world.store.deliverDelayedCalls()
        world.run(10.seconds)
        assertEquals(second, world.holders().single())
        assertNotEquals(first, second)
    }

    @Test
    fun `a holder whose object was changed by another stops at its next renewal`() {
        val world = FakeCandidates(8, 1)
        world.run(10.seconds)
        val holder = world.holders().single()
        world.takeByForce()
        world.run(6.5.seconds)
        assertNull(holder.lease.held(holder.clock(world.at)))
    }

    @Test
    fun `a release hands the duty over within one poll`() {
        val world = FakeCandidates(6, 2)
        world.run(10.seconds)
        val first = world.holders().single()
        first.candidacy = Candidacy.NONE
        world.run(7.seconds)
        assertNotEquals(first, world.holders().single())
    }

    @Test
    fun `a restarted host does not take its predecessor's lease for its own`() {
        val world = FakeCandidates(7, 1)
        world.run(10.seconds)
        val twin = world.candidates.single()
        twin.pausedUntil = world.at + 2.seconds
        world.candidates += world.create(0, incarnation = 2)
        world.run(5.seconds)
        assertEquals(twin, world.holders().single())
        assertNotNull(twin.lease.held(twin.clock(world.at)))
    }
}
