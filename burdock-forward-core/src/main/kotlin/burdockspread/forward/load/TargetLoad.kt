/** Load and health of one target as seen by this host. */
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

internal val MAX_EJECTION_TIME: Duration = 2.seconds

/** This host's requests in flight at one target, combined with the load that the target reports. */
internal class TargetLoad(listed: ListedTarget, now: Instant) {
    var entry: TargetEntry = listed.entry
        private set
    private var unconfirmedUntil: Instant? = listed.unconfirmedUntil

    /** When this incarnation became known; what an earlier one had cached is gone. */
    var knownSince: Instant = now
        private set
    private val requests = LinkedHashMap<Long, RequestLoad>()
    private var replicas = 0
    private var remoteLoad = 0.0
    private var remoteLoadAt: Instant = Instant.DISTANT_PAST
    private var remoteUnreadTokens = 0
    private var remoteUnreadAt: Instant = Instant.DISTANT_PAST
    private var failureEwma = 0.0
    private var latencyEwma = 0.0
    private var ejectedUntil: Instant = Instant.DISTANT_PAST
    private var ejectionTime = ZERO
    private var pausedUntil: Instant = Instant.DISTANT_PAST

    /** Whether the target itself said that it is about to stop. */
    var isLeaving: Boolean = false
        private set

    /** When the target registered or last responded. */
    var lastResponseAt: Instant = now
        private set

    /** Applies a changed entry; a new incarnation starts with a clean record. */
    fun onListed(listed: ListedTarget, now: Instant) {
        val isRestarted =
            !entry.isSameIncarnation(listed.entry) || entry.address != listed.entry.address
        entry = listed.entry
        unconfirmedUntil = listed.unconfirmedUntil
        if (!isRestarted) return
        knownSince = now
        failureEwma = 0.0
        remoteLoad = 0.0
        remoteUnreadTokens = 0
        ejectedUntil = Instant.DISTANT_PAST
        ejectionTime = ZERO
        pausedUntil = Instant.DISTANT_PAST
        isLeaving = false
    }

    /** Applies what the target asked of its callers; shorter times than before change nothing. */
    fun onNotice(notice: TargetNotice, now: Instant) {
        if (notice.isLeaving) isLeaving = true
        notice.retryAfter?.let { pausedUntil = maxOf(pausedUntil, now + it) }
    }

    /** Returns how long the target still wants no requests. */
    fun pause(now: Instant): Duration = (pausedUntil - now).coerceAtLeast(ZERO)

    /** Whether the target accepts requests as far as it has said. */
    fun isOpen(now: Instant): Boolean = !isLeaving && now >= pausedUntil

    /** This host's requests at the target, including replicas of its requests elsewhere. */
    val localLoad: Int get() = requests.size

    /** This host's requests that run or wait at the target. */
    val localRequests: Int get() = requests.size - replicas
    val meanLatency: Double get() = latencyEwma
    val failureRate: Double get() = failureEwma

    /** KV cache tokens that this host's requests and replicas occupy at the target. */
    var localTokens: Int = 0
        private set

    /** Prompt tokens of this host's requests that the target has not responded to yet. */
    var pendingPrefillTokens: Int = 0
        private set

    /** Returns the requests of other hosts: the last report, decaying to the pool's [baseline]. */
    fun remoteLoad(now: Instant, decayTime: Duration, baseline: Double): Double {
        val freshness = freshness(now, decayTime)
        return remoteLoad * freshness + baseline * (1.0 - freshness)
    }

    /** Returns other hosts' reported requests, or null if the report is older than [decayTime]. */
    fun reportedRemoteLoad(now: Instant, decayTime: Duration): Double? =
        remoteLoad.takeIf { freshness(now, decayTime) > 0.0 }

    private fun freshness(now: Instant, decayTime: Duration): Double =
        (1.0 - (now - remoteLoadAt) / decayTime).coerceIn(0.0, 1.0)

    fun isEjected(now: Instant): Boolean = now < ejectedUntil

    /** Whether the target is open and neither ejected nor unconfirmed. */
    fun isSound(now: Instant): Boolean = unconfirmedUntil == null && !isEjected(now) && isOpen(now)

    /** Whether the target counts as gone although it is still listed. */
    fun isGone(now: Instant): Boolean = unconfirmedUntil.let { it != null && now >= it }

    fun add(localId: Long, request: RequestLoad) {
        requests[localId] = request
        localTokens += request.totalTokens
        pendingPrefillTokens += request.pendingPrefill
        if (request.isReplica) replicas++
    }

    fun onResponseHead(localId: Long, load: ReportedLoad?, now: Instant) {
        requests[localId]?.let(::completePrefill)
        lastResponseAt = now
        if (load == null) return
        remoteLoad = max(0.0, (load.running + load.waiting - localRequests).toDouble())
        remoteLoadAt = now
    }

    /** Records the [load] of other hosts on the target as of [at]. */
    fun onPeerLoad(load: HostLoad, at: Instant) {
        remoteUnreadTokens = load.unreadTokens
        remoteUnreadAt = at
        if (at <= remoteLoadAt) return
        remoteLoad = load.runs.toDouble()
        remoteLoadAt = at
    }

    /**
     * Returns the prompt tokens of other hosts that the target has yet to read. It reads one prompt
     * after the other, so a request behind them waits.
     */
    fun remoteUnreadTokens(now: Instant): Double {
        val age = (now - remoteUnreadAt) / UNREAD_DECAY
        return remoteUnreadTokens * (1.0 - age).coerceIn(0.0, 1.0)
    }

    fun onEnded(localId: Long, outcome: AttemptOutcome, now: Instant) {
        val request = removeRequest(localId) ?: return
        when (outcome) {
            AttemptOutcome.DONE -> {
                failureEwma *= 1.0 - EWMA_WEIGHT
                ejectionTime = ZERO
                recordLatency(now - request.startedAt)
            }
            AttemptOutcome.FAILED,
            AttemptOutcome.MALFORMED,
            AttemptOutcome.SHED,
            AttemptOutcome.BROKEN,
            -> failureEwma += (1.0 - failureEwma) * EWMA_WEIGHT
            AttemptOutcome.SILENT,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.REPLACED,
            AttemptOutcome.CRASHED,
            -> {
                failureEwma += (1.0 - failureEwma) * EWMA_WEIGHT
                eject(now)
            }
            AttemptOutcome.CANCELLED -> Unit
        }
    }

    fun remove(localId: Long): Boolean = removeRequest(localId) != null

    private fun removeRequest(localId: Long): RequestLoad? {
        val request = requests.remove(localId) ?: return null
        completePrefill(request)
        localTokens -= request.totalTokens
        if (request.isReplica) replicas--
        return request
    }

    private fun completePrefill(request: RequestLoad) {
        pendingPrefillTokens -= request.pendingPrefill
        request.pendingPrefill = 0
    }

    /** Ejects the target for a time that doubles with each failure until it responds completely. */
    fun eject(now: Instant) {
        ejectionTime = (ejectionTime * 2).coerceIn(BASE_EJECTION_TIME, MAX_EJECTION_TIME)
        ejectedUntil = now + ejectionTime
    }

    private fun recordLatency(elapsed: Duration) {
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        latencyEwma =
            if (latencyEwma == 0.0) seconds else latencyEwma + (seconds - latencyEwma) * EWMA_WEIGHT
    }

    private companion object {
        /** Weight of the latest response in the moving averages of failure rate and latency. */
        const val EWMA_WEIGHT = 0.15
        val BASE_EJECTION_TIME = 300.milliseconds

        /** About the time in which an engine reads the prompts that it has been sent. */
        val UNREAD_DECAY = 2.seconds
    }
}

/**
 * Load that a request or its replica puts on a target.
 *
 * @property totalTokens prompt tokens and expected output tokens, which occupy the KV cache.
 */
internal class RequestLoad(
    promptTokens: Int,
    val totalTokens: Int,
    val startedAt: Instant,
    val isReplica: Boolean = false,
) {
    /** Prompt tokens that the target has not processed yet. */
    var pendingPrefill: Int = promptTokens
}
