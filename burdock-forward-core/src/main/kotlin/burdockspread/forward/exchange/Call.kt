/** Requests and responses as the exchange sees them. */
package burdockspread.forward.exchange

import burdockspread.forward.catalog.Route
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.ReportedLoad
import burdockspread.forward.load.TargetNotice
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A request that may be forwarded: its route is known and its caller is authorized.
 *
 * @property localId identifies the request within the process.
 * @property id the caller's own id of this attempt, forwarded unchanged.
 * @property isIdentified whether the caller sent [id]; otherwise [id] is local, and no target
 * receives it.
 * @property deadline the earlier of the caller's deadline and the route's timeout.
 * @property prompt the prompt, or null for calls to plain services.
 * @property resumeAfterEventId id of the last event that the caller already has, or null.
 */
public data class Call(
    public val localId: Long,
    public val id: String,
    public val route: Route,
    public val service: ServiceId,
    public val organisation: OrganisationId?,
    public val priority: Int,
    public val receivedAt: Instant,
    public val deadline: Instant,
    public val prompt: Prompt? = null,
    public val resumeAfterEventId: String? = null,
    public val isIdentified: Boolean = true,
)

/**
 * Number of prompt tokens and the maximum number of generated tokens.
 *
 * @property id identifies the prompt, so that equal prompts can share a cache; null if unknown.
 * @property sharedParts ids of the parts that prompts of other requests may have too.
 */
public data class Prompt(
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val id: Long? = null,
    public val sharedParts: ImmutableSet<Long> = persistentSetOf(),
)

/** A header line; the name keeps its original case. */
public data class Header(public val name: String, public val value: String)

/**
 * Head of a target's response.
 *
 * @property requestId id of the request that the response belongs to, or null if the target did not
 * state one.
 * @property sealed whether the response carries the target's signature.
 * @property notExecuted whether the target states that it did not execute the request.
 * @property headers headers to forward to the caller, in order.
 * @property length size of the body in bytes, or null if it is delimited by other means.
 * @property endsWithConnection whether the end of the connection delimits the body.
 * @property notice what the target asks of its callers.
 */
public data class ResponseHead(
    public val status: Int,
    public val requestId: String?,
    public val sealed: Boolean,
    public val notExecuted: Boolean,
    public val load: ReportedLoad?,
    public val headers: ImmutableList<Header>,
    public val length: Long? = null,
    public val endsWithConnection: Boolean = false,
    public val notice: TargetNotice = TargetNotice.NONE,
) {
    public val isSuccess: Boolean get() = status in SUCCESS

    /** Whether the response is a success whose body is, as far as it states a type, events. */
    public val isEventStream: Boolean
        get() {
            val type = headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }
            val isOfType = type?.value?.startsWith(EVENT_STREAM, ignoreCase = true) != false
            return isSuccess && status !in WITHOUT_BODY && isOfType
        }

    private companion object {
        val SUCCESS = 200..299
        val WITHOUT_BODY = 204..205
        const val EVENT_STREAM = "text/event-stream"
    }
}

/** Reason why an attempt ended without a complete response. */
public enum class AttemptFailure(
    /** What the failure says about the target. */
    public val outcome: AttemptOutcome,
) {
    /** No connection could be established; nothing was sent. */
    NOT_CONNECTED(AttemptOutcome.UNREACHABLE),

    /** The connection was closed or reset before the response was complete. */
    BROKEN(AttemptOutcome.BROKEN),

    /** The received bytes are not a valid HTTP response. */
    MALFORMED(AttemptOutcome.MALFORMED),
}

/** Tuning parameters of exchanges. */
public data class ExchangeOptions(
    /** Fraction of the latency objective for which a request may wait in the queue. */
    public val queueWaitFraction: Double = 0.12,
    /** Maximum time for which a broken stream waits for capacity at another target. */
    public val maxResumeWait: Duration = MAX_RESUME_WAIT,
    /** Multiple of the latency objective after which a silent idempotent call is retried. */
    public val silenceTimeoutFactor: Double = 1.5,
    /** Pause between events after which a stream resumes at the target with the replica. */
    public val stallTimeoutWithReplica: Duration = STALL_TIMEOUT_WITH_REPLICA,
    /** Pause between events after which a stream without a replica is retried at another target. */
    public val stallTimeoutWithoutReplica: Duration = STALL_TIMEOUT_WITHOUT_REPLICA,
    /** Silence after which a target is probed. */
    public val probeAfter: Duration = PROBE_AFTER,
    /** Responses up to this size are buffered until complete, to allow a retry. */
    public val bufferBytes: Int = 262_144,
    /** Maximum size of one event of a stream. */
    public val maxEventBytes: Int = 262_144,
    /** Maximum size of comments and repeated events between two events of a stream. */
    public val maxBytesWithoutEvent: Int = 1_048_576,
    /** Maximum size of the responses to other requests that one attempt skips. */
    public val maxSkippedBytes: Int = 262_144,
    /** Maximum number of responses to other requests that one attempt skips. */
    public val maxSkippedResponses: Int = 4,
    /**
     * Size of the part of an incomplete event or response whose arrival counts as progress. It
     * tells a slow target from one that only keeps its connection busy.
     */
    public val minProgressBytes: Int = 1_024,
)
