/** The rollout of a new version of one service, as one host sees and serves it. */
package burdockspread.forward.rollout

import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.PlacementRequest
import burdockspread.forward.load.VersionGate
import burdockspread.forward.load.VersionPreference
import burdockspread.id.HostId
import burdockspread.id.TargetId
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Serves one service during a rollout and judges the new version. Not thread-safe, no I/O.
 *
 * Each host gives the new version a share of its own requests, so the share of all is bounded
 * whatever the hosts know of each other. The share is spread evenly over the routes, because a
 * version may be bad on a rare one. Trials go to as few targets as would serve that share, so that
 * these bear their usual load: some versions are bad only then. A trial that fails is repeated at
 * the old version.
 *
 * Hosts tell each other their counts and come to the same verdict. One that finds the version bad
 * sends it nothing from then on, without waiting for the others; the store moves the rollout on.
 */
public class ServiceRollout(
    private val options: RolloutOptions = RolloutOptions(),
    private val random: Random = Random.Default,
) : VersionGate {
    private val arrivals = HashMap<String, Int>()
    private val credits = HashMap<String, Double>()
    private val flights = LinkedHashMap<Long, Flight>()

    /** Mean time to the response head of the old version, in seconds by route. */
    private val usualSeconds = HashMap<String, Double>()
    private val peers = HashMap<HostId, PeerTally>()

    /** Counts of peers that have started anew since. */
    private var earlier = VersionTally()
    private var trialTargets = emptySet<TargetId>()
    private var targets: Collection<TargetEntry> = emptyList()
    private var hasSeenOldVersion = false

    /** When this host learned of the order's state. */
    private var stateSince = Instant.DISTANT_PAST

    /** Whether the responses have shown that the new version is bad. */
    public var isRejected: Boolean = false
        private set

    /** The newest order, or null if there was none. */
    public var order: RolloutOrder? = null
        private set

    /** Responses that this host has had. */
    public var localTally: VersionTally = VersionTally()
        private set

    /** Responses that all hosts have had, as far as this one knows. */
    public val tally: VersionTally
        get() = peers.values.fold(localTally + earlier) { sum, peer -> sum + peer.tally }

    /** Applies the state of the store; returns false if it brings no other version or state. */
    public fun onOrder(read: RolloutOrder, now: Instant): Boolean {
        val known = order
        val next = known?.updatedBy(read) ?: read
        order = next
        if (next.version == known?.version && next.state == known.state) return false
        stateSince = now
        if (next.version != known?.version || next.state < known.state) restart()
        return true
    }

    private fun restart() {
        isRejected = false
        localTally = VersionTally()
        earlier = VersionTally()
        peers.clear()
        flights.clear()
        credits.clear()
        hasSeenOldVersion = false
        onTargets(targets)
    }

    /**
     * Records the counts of another host, whose messages have an increasing [sequence], also those
     * of a new process on it. A message that is late or doubled changes nothing.
     */
    public fun onPeerTally(host: HostId, sequence: Long, version: String, counted: VersionTally) {
        if (version != order?.version) return
        val before = peers[host]
        if (before != null && before.sequence >= sequence) return
        peers[host] = PeerTally(sequence, counted)
        val isNewProcess = before != null && counted.responses < before.tally.responses
        if (isNewProcess) earlier += before.tally
    }

    override fun onTargets(targets: Collection<TargetEntry>) {
        this.targets = targets
        val version = order?.version ?: return
        val (new, old) = targets.partition { it.version == version }
        if (old.isNotEmpty()) hasSeenOldVersion = true
        val count = ceil(new.size * options.trialShare).toInt().coerceAtLeast(MIN_TRIAL_TARGETS)
        trialTargets = new.map { it.id }.sortedBy { it.value.hashCode() }.take(count).toSet()
    }

    override fun isTrial(request: PlacementRequest, now: Instant): Boolean {
        val route = request.route
        arrivals.merge(route, 1, Int::plus)
        if (isRejected) return false
        return when (order?.state) {
            RolloutState.TRIAL -> takesTrial(route)
            RolloutState.SHIFTING -> random.nextDouble() < shiftedShare(now)
            else -> false
        }
    }

    /** Returns the share of the requests that the new version gets while the traffic moves. */
    private fun shiftedShare(now: Instant): Double {
        val step = ((now - stateSince) / SHIFT_STEP).toInt()
        return SHIFT_SHARES.getOrElse(step) { 1.0 }
    }

    private fun takesTrial(route: String): Boolean {
        val credit = (credits[route] ?: random.nextDouble()) + trialShare(route)
        val isTrial = credit >= 1.0
        credits[route] = if (isTrial) credit - 1.0 else credit
        return isTrial
    }

    /** Returns the share of the requests of [route] that try the new version. */
    private fun trialShare(route: String): Double {
        val ofRoute = arrivals.getValue(route).toDouble()
        val evenShare = options.trialShare * arrivals.values.sum() / arrivals.size / ofRoute
        return evenShare.coerceAtMost(MAX_ROUTE_SHARE)
    }

    override fun preference(target: TargetEntry, isTrial: Boolean): VersionPreference {
        val current = order ?: return VersionPreference.FIRST
        val isNew = target.version == current.version
        return when (if (isRejected) RolloutState.REVERTED else current.state) {
            RolloutState.TRIAL -> when {
                !hasSeenOldVersion -> VersionPreference.FIRST
                !isNew -> if (isTrial) VersionPreference.FALLBACK else VersionPreference.FIRST
                isTrial && target.id in trialTargets -> VersionPreference.FIRST
                else -> VersionPreference.NEVER
            }
            RolloutState.SHIFTING ->
                if (isNew == isTrial) VersionPreference.FIRST else VersionPreference.FALLBACK
            RolloutState.COMPLETED ->
                if (isNew) VersionPreference.FIRST else VersionPreference.NEVER
            RolloutState.REVERTED ->
                if (isNew) VersionPreference.NEVER else VersionPreference.FIRST
        }
    }

    override fun onSent(request: PlacementRequest, target: TargetEntry, now: Instant) {
        val isNew = target.version == order?.version
        flights[request.localId] = Flight(request.route, isNew, now)
    }

    override fun onResponseHead(localId: Long, now: Instant) {
        val flight = flights[localId] ?: return
        if (flight.headAt != null) return
        flight.headAt = now
        if (isSlow(flight, now)) return count(localId, flight, isBad = true)
        if (!flight.isNew) learn(flight, now)
    }

    override fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        val flight = flights.remove(localId) ?: return
        when (outcome) {
            AttemptOutcome.DONE -> count(localId, flight, isBad = isSlow(flight, now))
            AttemptOutcome.FAILED, AttemptOutcome.MALFORMED -> count(localId, flight, isBad = true)
            // Crashes, full targets and callers that leave say nothing about the version.
            else -> Unit
        }
    }

    /** Counts requests that are slow by now, and streams that go on. Called often. */
    public fun tick(now: Instant) {
        if (order?.state?.isFinal != false) return
        flights.entries.toList().forEach { (localId, flight) ->
            val headAt = flight.headAt
            when {
                isSlow(flight, now) -> count(localId, flight, isBad = true)
                headAt != null && now - headAt >= SETTLED_AFTER ->
                    count(localId, flight, isBad = false)
            }
        }
        if (VersionJudge.judge(tally, options.minResponses) == VersionVerdict.BAD) isRejected = true
    }

    /**
     * Returns the state to which the rollout should move now, or null if it should stay. The old
     * version has the time from SHIFTING to COMPLETED to finish its work, since its targets stop
     * at once then. A version that could not be shown to be good is reverted: a bad one would cost
     * callers more than a good one that is ordered again.
     */
    public fun proposal(now: Instant): RolloutState? {
        val current = order ?: return null
        if (current.state.isFinal) return null
        if (isRejected) return RolloutState.REVERTED
        val progress = (now - current.orderedAt) / current.duration
        return when {
            current.state == RolloutState.SHIFTING ->
                RolloutState.COMPLETED.takeIf { progress >= COMPLETE_AT }
            progress >= SHIFT_AT && isGood(options.minResponses) -> RolloutState.SHIFTING
            progress >= LATE_SHIFT_AT && isGood(options.minResponsesLate) -> RolloutState.SHIFTING
            progress >= REVERT_AT -> RolloutState.REVERTED
            else -> null
        }
    }

    private fun isGood(minResponses: Int) =
        VersionJudge.judge(tally, minResponses) == VersionVerdict.GOOD

    private fun isSlow(flight: Flight, now: Instant): Boolean {
        val usual = usualSeconds[flight.route] ?: return false
        val time = ((flight.headAt ?: now) - flight.sentAt).inWholeMilliseconds / MILLIS_PER_SECOND
        return time > maxOf(usual * SLOW_FACTOR, MIN_SLOW_SECONDS)
    }

    private fun learn(flight: Flight, now: Instant) {
        val time = (now - flight.sentAt).inWholeMilliseconds / MILLIS_PER_SECOND
        usualSeconds.merge(flight.route, time) { mean, _ -> mean + (time - mean) * LEARNING_WEIGHT }
    }

    private fun count(localId: Long, flight: Flight, isBad: Boolean) {
        flights.remove(localId)
        if (order?.state?.isFinal != false) return
        val count = ResponseCount(1, if (isBad) 1 else 0)
        val change = if (flight.isNew) RouteTally(new = count) else RouteTally(old = count)
        localTally = localTally.with(flight.route, change)
    }

    private class PeerTally(val sequence: Long, val tally: VersionTally)

    private class Flight(val route: String, val isNew: Boolean, val sentAt: Instant) {
        var headAt: Instant? = null
    }

    private companion object {
        /** Two, so that the trial goes on when one of them crashes. */
        const val MIN_TRIAL_TARGETS = 2

        /** Largest share of a rare route's requests that try the new version. */
        const val MAX_ROUTE_SHARE = 0.5

        /** Times as long as usual; the load of a busy service changes it by less. */
        const val SLOW_FACTOR = 3.0
        const val MIN_SLOW_SECONDS = 0.25
        const val LEARNING_WEIGHT = 0.1
        const val MILLIS_PER_SECOND = 1_000.0

        /** Time after its head at which a stream no longer counts as a failure. */
        val SETTLED_AFTER: Duration = 1.seconds

        /** Parts of the rollout's duration; a version may turn bad some seconds after its start. */
        const val SHIFT_AT = 0.5
        const val LATE_SHIFT_AT = 0.7
        const val REVERT_AT = 0.8

        /** The rest covers the write to a store that answers slowly. */
        const val COMPLETE_AT = 0.9

        /**
         * Shares of the traffic while it moves. A version that turns out to be bad only then has
         * got a few requests more than in the trial.
         */
        val SHIFT_SHARES = listOf(0.2, 0.5)
        val SHIFT_STEP: Duration = 1.seconds
    }
}

/**
 * Bounds of a rollout.
 *
 * @property trialShare share of the requests that try the new version.
 * @property minResponses responses of the new version that are enough to judge it good.
 * @property minResponsesLate the same when little time is left.
 */
public data class RolloutOptions(
    public val trialShare: Double = 0.09,
    public val minResponses: Int = 12,
    public val minResponsesLate: Int = 5,
)
