package burdockspread.forward.rollout

import burdockspread.forward.Fixture
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.PlacementRequest
import burdockspread.forward.load.VersionPreference
import burdockspread.id.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Hosts that serve one service during a rollout, in virtual time. Counts are sent in datagrams
 * that may be lost, and the store takes the first proposal that its host can deliver.
 *
 * @param isBad whether a response of the new version to a request of a route is bad at a time.
 * @param faults probability per host and second that it starts anew or is cut off for a while.
 */
internal class RolloutFleet(
    seed: Int,
    private val isBad: (route: String, sinceOrder: Duration, Random) -> Boolean,
    private val faults: Double = 0.0,
    private val duration: Duration = 16.seconds,
) {
    private val random = Random(seed)
    private val start = Fixture.START
    private val targets =
        List(20) { target("old-$it", "v1") } + List(20) { target("new-$it", "v2") }
    private val hosts = List(HOSTS) { Host(HostId("h$it")) }
    private var stored = RolloutOrder(
        Fixture.DRAFTS,
        "v2",
        duration,
        start,
        RolloutState.TRIAL,
        storeVersion = 1,
    )
    private var localId = 0L
    private var arrivals = 0
    private var exposed = 0
    val states = ArrayList<RolloutState>()

    /** Requests that reached the new version from a host that knew that it is not to get any. */
    var forbidden = 0
        private set

    /** Share of the requests up to the deadline that reached the new version, and their number. */
    fun run(): Exposure {
        var at = Duration.ZERO
        while (at < duration * 1.5) {
            step(start + at, at)
            at += STEP
        }
        return Exposure(exposed, arrivals)
    }

    data class Exposure(val exposed: Int, val requests: Int)

    private fun step(now: Instant, at: Duration) {
        hosts.forEach { if (random.nextDouble() < faults * STEP_SECONDS) it.fail(now) }
        hosts.forEach { host ->
            if (random.nextDouble() < REQUESTS_PER_HOST * STEP_SECONDS) host.serve(now, at)
            host.rollout.tick(now)
            if (now >= host.cutUntil) {
                host.rollout.onOrder(stored, now)
                host.exchange()
            }
        }
        val proposer = hosts.firstOrNull { now >= it.cutUntil && it.rollout.proposal(now) != null }
        val next = proposer?.rollout?.proposal(now) ?: return
        if (next <= stored.state || stored.state.isFinal) return
        states += next
        stored = stored.copy(state = next, storeVersion = stored.storeVersion + 1)
    }

    private inner class Host(private val id: HostId) {
        var rollout = ServiceRollout(random = random)
        var cutUntil = Instant.DISTANT_PAST
        private var sequence = 0L

        init {
            rollout.onTargets(targets)
        }

        fun fail(now: Instant) {
            if (random.nextBoolean()) {
                rollout = ServiceRollout(random = random).also { it.onTargets(targets) }
            } else {
                cutUntil = now + 4.seconds
            }
        }

        fun serve(now: Instant, at: Duration) {
            val route = if (random.nextInt(10) == 0) "rare" else "common"
            val request = PlacementRequest(++localId, route = route, waitUntil = now)
            val isTrial = rollout.isTrial(request, now)
            val preferred = VersionPreference.FIRST
            val target = targets.filter { rollout.preference(it, isTrial) == preferred }
                .randomOrNull(random) ?: return
            val isNew = target.version == "v2"
            if (at < duration) {
                arrivals++
                if (isNew) exposed++
            }
            val known = rollout.order?.state
            if (isNew && (rollout.isRejected || known == RolloutState.REVERTED)) forbidden++
            val bad = if (isNew) isBad(route, at, random) else random.nextInt(50) == 0
            rollout.onSent(request, target, now)
            rollout.onEnded(
                localId,
                if (bad) AttemptOutcome.FAILED else AttemptOutcome.DONE,
                now + 30.milliseconds,
            )
        }

        /** Sends the counts to all hosts; each datagram may be lost. */
        fun exchange() {
            sequence++
            hosts.filter { it !== this && random.nextInt(10) > 0 }.forEach {
                it.rollout.onPeerTally(id, sequence, "v2", rollout.localTally)
            }
        }
    }

    private fun target(name: String, version: String) = Fixture.target(name).copy(version = version)

    private companion object {
        const val HOSTS = 20
        const val REQUESTS_PER_HOST = 1.6
        const val STEP_SECONDS = 0.1
        val STEP = 100.milliseconds
    }
}
