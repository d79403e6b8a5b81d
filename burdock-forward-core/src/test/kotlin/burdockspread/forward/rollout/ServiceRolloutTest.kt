package burdockspread.forward.rollout

import burdockspread.forward.Fixture
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.PlacementRequest
import burdockspread.forward.load.VersionPreference
import burdockspread.id.HostId
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceRolloutTest {
    private val now = Fixture.START
    private val old = Fixture.target("old").copy(version = "v1")
    private val new = List(3) { Fixture.target("new-$it").copy(version = "v2") }
    private val rollout = ServiceRollout(random = Random(1)).apply { onTargets(new + old) }
    private var localId = 0L

    @Test
    fun `without an order all versions are alike`() {
        assertTrue((new + old).all { preference(it) == VersionPreference.FIRST })
        assertFalse((1..100).any { rollout.isTrial(request(), now) })
    }

    @Test
    fun `a small share of the requests tries few targets of the new version`() {
        rollout.onOrder(order(), now)
        assertTrue(new.all { preference(it) == VersionPreference.NEVER })
        val trials = (1..1_000).count { rollout.isTrial(request(), now) }
        assertTrue(trials in 85..95, "$trials of 1,000")
        val open = new.filter { preference(it, isTrial = true) == VersionPreference.FIRST }
        assertEquals(2, open.size)
        assertEquals(VersionPreference.FALLBACK, preference(old, isTrial = true))
    }

    @Test
    fun `a rare route has as many trials as a common one`() {
        rollout.onOrder(order(), now)
        val trials = (1..2_000).map { if (it % 10 == 0) "rare" else "common" }
            .filter { rollout.isTrial(request(it), now) }.groupingBy { it }.eachCount()
        assertTrue(trials.getValue("rare") in 75..105, "$trials")
        assertTrue(trials.getValue("common") in 75..105, "$trials")
    }

    @Test
    fun `a host that sees the version fail sends it nothing and proposes to revert`() {
        rollout.onOrder(order(), now)
        repeat(8) { serve(AttemptOutcome.FAILED) }
        rollout.tick(now)
        assertTrue(rollout.isRejected)
        assertTrue(new.all { preference(it, isTrial = true) == VersionPreference.NEVER })
        assertEquals(RolloutState.REVERTED, rollout.proposal(now + 1.seconds))
    }

    @Test
    fun `crashes and full targets say nothing about the version`() {
        rollout.onOrder(order(), now)
        val outcomes = listOf(AttemptOutcome.BROKEN, AttemptOutcome.CRASHED, AttemptOutcome.SHED)
        repeat(20) { serve(outcomes[it % outcomes.size]) }
        assertEquals(0, rollout.tally.responses)
    }

    @Test
    fun `a version that takes three times as long is bad before it has responded`() {
        repeat(20) { serve(AttemptOutcome.DONE, old, headAfter = 1.seconds) }
        rollout.onOrder(order(), now)
        repeat(8) { rollout.onSent(request(), new[0], now) }
        rollout.tick(now + 2.seconds)
        assertFalse(rollout.isRejected)
        rollout.tick(now + 3_100.milliseconds)
        assertTrue(rollout.isRejected)
    }

    @Test
    fun `a good version goes from trial to shift to completion and the old one gets the rest`() {
        rollout.onOrder(order(), now)
        repeat(20) { serve(AttemptOutcome.DONE) }
        assertNull(rollout.proposal(now + 7.seconds))
        assertEquals(RolloutState.SHIFTING, rollout.proposal(now + 8.seconds))
        rollout.onOrder(order(RolloutState.SHIFTING, 2), now)
        val moved = (0..2).map { second ->
            (1..1_000).count { rollout.isTrial(request(), now + second.seconds) } / 100
        }
        assertTrue(moved[0] in 1..2 && moved[1] in 4..5 && moved[2] == 10, "$moved")
        assertTrue(new.all { preference(it, isTrial = true) == VersionPreference.FIRST })
        assertEquals(VersionPreference.FALLBACK, preference(old, isTrial = true))
        assertNull(rollout.proposal(now + 12.seconds))
        assertEquals(RolloutState.COMPLETED, rollout.proposal(now + 14_500.milliseconds))
        rollout.onOrder(order(RolloutState.COMPLETED, 3), now)
        assertEquals(VersionPreference.NEVER, preference(old))
    }

    @Test
    fun `a version that nobody could try is reverted in time`() {
        rollout.onOrder(order(), now)
        assertNull(rollout.proposal(now + 12.seconds))
        assertEquals(RolloutState.REVERTED, rollout.proposal(now + 13.seconds))
    }

    @Test
    fun `an older state or a state of another order changes nothing`() {
        rollout.onOrder(order(RolloutState.REVERTED, 5), now)
        assertFalse(rollout.onOrder(order(RolloutState.SHIFTING, 4), now))
        assertTrue(new.all { preference(it, isTrial = true) == VersionPreference.NEVER })
        rollout.onOrder(order(RolloutState.TRIAL, 6).copy(version = "v3"), now)
        assertTrue(new.all { preference(it) == VersionPreference.FIRST })
    }

    @Test
    fun `late and doubled counts change nothing and those of a new process are added`() {
        rollout.onOrder(order(), now)
        val host = HostId("h2")
        rollout.onPeerTally(host, 5, "v2", counted(10))
        rollout.onPeerTally(host, 4, "v2", counted(7))
        rollout.onPeerTally(host, 5, "v2", counted(10))
        assertEquals(10, rollout.tally.responses)
        rollout.onPeerTally(host, 6, "v2", counted(3))
        assertEquals(13, rollout.tally.responses)
        rollout.onPeerTally(host, 7, "v1", counted(30))
        assertEquals(13, rollout.tally.responses)
    }

    private fun counted(responses: Int) =
        VersionTally(persistentMapOf("r" to RouteTally(new = ResponseCount(responses))))

    @Test
    fun `the time of an order is that of the first host that saw it`() {
        rollout.onOrder(order(), now)
        rollout.onOrder(order(RolloutState.SHIFTING, 2).copy(orderedAt = now + 3.seconds), now)
        assertEquals(now, rollout.order?.orderedAt)
    }

    enum class Fault(val isBad: (String, Duration, Random) -> Boolean) {
        ERRORS({ _, _, random -> random.nextInt(100) < 48 }),
        LATE({ _, since, random -> since > 3.seconds && random.nextInt(100) < 48 }),
        ONE_ROUTE({ route, _, random -> route == "rare" && random.nextInt(100) < 60 }),
    }

    // Each kind of bad version, beside hosts that start anew or are cut off and lost datagrams.
    @ParameterizedTest
    @EnumSource
    fun `a bad version is reverted and gets no more than its share`(fault: Fault) {
        var most = 0.0
        var shifted = 0
        repeat(SEEDS) { seed ->
            val fleet = RolloutFleet(seed, fault.isBad, faults = 0.02)
            val result = fleet.run()
            assertEquals(RolloutState.REVERTED, fleet.states.last(), "seed $seed: ${fleet.states}")
            if (fleet.states.size > 1) shifted++
            assertEquals(0, fleet.forbidden, "seed $seed")
            val allowed = result.requests / 10 + SLACK
            assertTrue(result.exposed <= allowed, "seed $seed: $result")
            most = maxOf(most, result.exposed.toDouble() / allowed)
        }
        println(
            "$fault: at most ${"%.2f".format(
                most,
            )} of the exposure that is allowed, $shifted shifted",
        )
        assertTrue(shifted <= SEEDS / 10, "$shifted shifted")
    }

    @Test
    fun `a good version is completed beside failing hosts`() {
        val ends = (0 until SEEDS).map { seed ->
            RolloutFleet(seed, { _, _, random -> random.nextInt(50) == 0 }, faults = 0.02)
                .also { it.run() }.states
        }
        val good = listOf(RolloutState.SHIFTING, RolloutState.COMPLETED)
        assertTrue(ends.count { it == good } >= SEEDS - 1, "$ends")
    }

    private fun serve(
        outcome: AttemptOutcome,
        target: TargetEntry = new[0],
        headAfter: Duration = 10.milliseconds,
    ) {
        val request = request()
        rollout.onSent(request, target, now)
        rollout.onResponseHead(request.localId, now + headAfter)
        rollout.onEnded(request.localId, outcome, now + headAfter)
    }

    private fun request(route: String = "r") =
        PlacementRequest(++localId, route = route, waitUntil = now)

    private fun order(state: RolloutState = RolloutState.TRIAL, storeVersion: Long = 1) =
        RolloutOrder(Fixture.DRAFTS, "v2", 16.seconds, now, state, storeVersion)

    private fun preference(target: TargetEntry, isTrial: Boolean = false) =
        rollout.preference(target, isTrial)

    private companion object {
        const val SEEDS = 30
        const val SLACK = 50
    }
}
