/** Tests leases over random schedules and in each failure scenario. */
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
    fun `random schedules never produce two holders or a reused token`() {
        var acquisitions = 0
        for (seed in 1..150) {
            val simulation = FakeCandidates(seed, 4)
            val random = simulation.random
            val storeFaults = StoreFault.entries
            simulation.store.faults = {
                if (random.nextInt(4) == 0) storeFaults.random(random) else StoreFault.NONE
            }
            val stoppedCandidates = ArrayList<FakeCandidate>()
            simulation.run(180.seconds) {
                if (random.nextInt(40) == 0) simulation.store.deliverDelayedCalls()
                if (random.nextInt(60) == 0) pause(simulation)
                if (random.nextInt(300) == 0) restart(simulation, stoppedCandidates)
                if (random.nextInt(100) == 0) {
                    simulation.candidates.random(random).candidacy =
                        Candidacy.entries.random(random)
                }
            }
            val tokens = (simulation.candidates + stoppedCandidates).flatMap { it.tokens }
            assertEquals(tokens.distinct(), tokens, "seed $seed")
            acquisitions += tokens.size
        }
        assertTrue(acquisitions > 300, "$acquisitions acquisitions")
    }

    private fun pause(simulation: FakeCandidates) {
        val candidate = simulation.candidates.random(simulation.random)
        candidate.pausedUntil = simulation.elapsed + simulation.random.nextInt(1, 40).seconds
    }

    private fun restart(simulation: FakeCandidates, stoppedCandidates: MutableList<FakeCandidate>) {
        val index = simulation.random.nextInt(simulation.candidates.size)
        stoppedCandidates += simulation.candidates[index]
        simulation.candidates[index] =
            simulation.create(index, incarnation = 2L + stoppedCandidates.size)
    }

    @Test
    fun `paused holder that resumes is past its deadline before it acts`() {
        val simulation = FakeCandidates(1, 2)
        simulation.run(10.seconds)
        val first = simulation.holders().single()
        first.pausedUntil = simulation.elapsed + 60.seconds
        simulation.run(40.seconds)
        val second = simulation.holders().single()
        assertNotEquals(first, second)
        assertNull(first.lease.held(first.now(simulation.elapsed)))
        assertTrue(second.tokens.max() > first.tokens.max())
    }

    @Test
    fun `candidate takes over within the duration, the drift and one poll`() {
        val simulation = FakeCandidates(2, 2)
        simulation.run(10.seconds)
        val first = simulation.holders().single()
        first.pausedUntil = 1_000.seconds
        val stopped = simulation.elapsed
        while (simulation.holders().singleOrNull().let { it == null || it == first }) {
            simulation.run(0.1.seconds)
        }
        assertTrue(simulation.elapsed - stopped <= 22.seconds, "${simulation.elapsed - stopped}")
    }

    @Test
    fun `holder keeps the lease when responses to its renewals are lost`() {
        val simulation = FakeCandidates(3, 2)
        simulation.run(10.seconds)
        val holder = simulation.holders().single()
        var writes = 0L
        simulation.store.faults = {
            val isWrite = simulation.store.writes.get() > writes
            writes = simulation.store.writes.get()
            if (isWrite) StoreFault.ANSWER_LOST else StoreFault.NONE
        }
        simulation.run(120.seconds) { assertEquals(holder, simulation.holders().singleOrNull()) }
        assertEquals(1, holder.tokens.size)
    }

    @Test
    fun `lease expires in a store outage and is acquired again with a higher token`() {
        val simulation = FakeCandidates(4, 3)
        simulation.run(10.seconds)
        assertEquals(1, simulation.holders().size)
        simulation.breakStore(StoreFault.CALL_LOST)
        simulation.run(20.seconds)
        assertEquals(0, simulation.holders().size)
        simulation.breakStore(StoreFault.NONE)
        simulation.run(10.seconds)
        val newHolder = simulation.holders().single()
        assertTrue(newHolder.tokens.max() > 1)
    }

    @Test
    fun `delayed renewal does not restore a lease that was taken over`() {
        val simulation = FakeCandidates(5, 2)
        simulation.run(10.seconds)
        val first = simulation.holders().single()
        simulation.breakStore(StoreFault.CALL_LATE)
        simulation.run(6.seconds)
        simulation.breakStore(StoreFault.NONE)
        first.pausedUntil = simulation.elapsed + 60.seconds
        simulation.run(40.seconds)
        val second = simulation.holders().single()
        simulation.store.deliverDelayedCalls()
        simulation.run(10.seconds)
        assertEquals(second, simulation.holders().single())
        assertNotEquals(first, second)
    }

    @Test
    fun `holder stops at its next renewal after another writer changed the object`() {
        val simulation = FakeCandidates(8, 1)
        simulation.run(10.seconds)
        val holder = simulation.holders().single()
        simulation.overwriteLease()
        simulation.run(6.5.seconds)
        assertNull(holder.lease.held(holder.now(simulation.elapsed)))
    }

    @Test
    fun `released lease is acquired by another candidate within one poll`() {
        val simulation = FakeCandidates(6, 2)
        simulation.run(10.seconds)
        val first = simulation.holders().single()
        first.candidacy = Candidacy.NONE
        simulation.run(7.seconds)
        assertNotEquals(first, simulation.holders().single())
    }

    @Test
    fun `restarted host does not treat the lease of its predecessor as its own`() {
        val simulation = FakeCandidates(7, 1)
        simulation.run(10.seconds)
        val predecessor = simulation.candidates.single()
        predecessor.pausedUntil = simulation.elapsed + 2.seconds
        simulation.candidates += simulation.create(0, incarnation = 2)
        simulation.run(5.seconds)
        assertEquals(predecessor, simulation.holders().single())
        assertNotNull(predecessor.lease.held(predecessor.now(simulation.elapsed)))
    }
}
