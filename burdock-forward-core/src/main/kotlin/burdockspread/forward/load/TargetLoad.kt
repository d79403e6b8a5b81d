/** What a host knows about the load and the health of one target. */
package burdockspread.forward.load

import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

internal val LONGEST_PAUSE: Duration = 2.seconds

/** Own requests in flight at one target, corrected by what the target reports. */
internal class TargetLoad(listed: ListedTarget, now: Instant) {
    var entry: TargetEntry = listed.entry
        private set
    var isUnconfirmed: Boolean = listed.isUnconfirmed
        private set
    private val flights = LinkedHashMap<Long, FlightLoad>()
    private var copies = 0
    private var others = 0.0
    private var othersAt: Instant = Instant.DISTANT_PAST
    private var failures = 0.0
    private var latency = 0.0
    private var pausedUntil: Instant = Instant.DISTANT_PAST
    private var pause = ZERO

    /** When the target registered or last answered anything. */
    var heardAt: Instant = now
        private set

    /** Takes a changed entry; a new incarnation starts with a clean record. */
    fun onListed(listed: ListedTarget) {
        val reborn = !entry.sameIncarnation(listed.entry) || entry.address != listed.entry.address
        entry = listed.entry
        isUnconfirmed = listed.isUnconfirmed
        if (!reborn) return
        failures = 0.0
        others = 0.0
        pausedUntil = Instant.DISTANT_PAST
        pause = ZERO
    }

    /** Own requests and copies of own requests here. */
    val own: Int get() = flights.size

    /** Own requests that run or wait here. */
    val ownRuns: Int get() = flights.size - copies
    val meanLatency: Double get() = latency
    val failureRate: Double get() = failures

    /** Tokens of memory that own requests and their copies need here. */
    var ownTokens: Int = 0
        private set

    /** Prompt tokens of own requests that have not begun to answer. */
    var unreadTokens: Int = 0
        private set

    /** Requests of other hosts: what was reported last, fading to [usual], that of the pool. */
    fun others(now: Instant, fade: Duration, usual: Double): Double {
        val trust = trust(now, fade)
        return others * trust + usual * (1.0 - trust)
    }

    /** Requests of other hosts as reported, or null when the report is older than [fade]. */
    fun reportedOthers(now: Instant, fade: Duration): Double? =
        others.takeIf { trust(now, fade) > 0.0 }

    private fun trust(now: Instant, fade: Duration): Double =
        (1.0 - (now - othersAt) / fade).coerceIn(0.0, 1.0)

    fun paused(now: Instant): Boolean = now < pausedUntil

    fun add(localId: Long, flight: FlightLoad) {
        flights[localId] = flight
        ownTokens += flight.tokens
        unreadTokens += flight.unread
        if (flight.copy) copies++
    }

    fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant) {
        flights[localId]?.let(::read)
        heardAt = now
        if (load == null) return
        others = max(0.0, (load.running + load.waiting - ownRuns).toDouble())
        othersAt = now
    }

    /** Other hosts say that [runs] of their requests are here as of [at]. */
    fun onOthers(runs: Int, at: Instant) {
        if (at <= othersAt) return
        others = runs.toDouble()
        othersAt = at
    }

    fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        val flight = take(localId) ?: return
        when (outcome) {
            AttemptOutcome.DONE -> {
                failures *= 1.0 - WEIGHT
                pause = ZERO
                noteLatency(now - flight.since)
            }
            AttemptOutcome.FAILED, AttemptOutcome.SHED, AttemptOutcome.BROKEN ->
                failures += (1.0 - failures) * WEIGHT
            AttemptOutcome.SILENT, AttemptOutcome.UNREACHABLE, AttemptOutcome.REPLACED -> {
                failures += (1.0 - failures) * WEIGHT
                lengthenPause(now)
            }
            AttemptOutcome.CANCELLED -> Unit
        }
    }

    fun remove(localId: Long): Boolean = take(localId) != null

    private fun take(localId: Long): FlightLoad? {
        val flight = flights.remove(localId) ?: return null
        read(flight)
        ownTokens -= flight.tokens
        if (flight.copy) copies--
        return flight
    }

    private fun read(flight: FlightLoad) {
        unreadTokens -= flight.unread
        flight.unread = 0
    }

    /** Leaves the target out for a while, longer each time until it gives a whole answer. */
    fun lengthenPause(now: Instant) {
        pause = (pause * 2).coerceIn(FIRST_PAUSE, LONGEST_PAUSE)
        pausedUntil = now + pause
    }

    private fun noteLatency(took: Duration) {
        val seconds = took.toDouble(DurationUnit.SECONDS)
        latency = if (latency == 0.0) seconds else latency + (seconds - latency) * WEIGHT
    }

    private companion object {
        /** Weight of the newest answer in failure rate and latency. */
        const val WEIGHT = 0.15
        val FIRST_PAUSE = 300.milliseconds
    }
}

/** What one request, or the copy of one, takes of a target. */
internal class FlightLoad(
    promptTokens: Int,
    val tokens: Int,
    val since: Instant,
    val copy: Boolean = false,
) {
    /** Prompt tokens that the target has not read yet. */
    var unread: Int = promptTokens
}
