/** Requests and answers as the exchange sees them. */
package burdockspread.forward.exchange

import burdockspread.forward.catalog.Route
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.ReportedLoad
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A request that may be forwarded: its route is known and its caller may use it.
 *
 * @property localId names the request within the process.
 * @property id the caller's own name of this try, passed on unchanged.
 * @property deadline the earlier of the caller's deadline and the route's timeout.
 * @property prompt size of the prompt, or null for calls of plain services.
 * @property resumeAfter last event that the caller has already, or null.
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
    public val prompt: PromptSize? = null,
    public val resumeAfter: String? = null,
)

/** Tokens of a prompt, and the most that may be generated. */
public data class PromptSize(public val promptTokens: Int, public val outputTokens: Int)

/** One header line, its name spelled as it came. */
public data class Header(public val name: String, public val value: String)

/**
 * Head of a target's answer.
 *
 * @property answers id of the request that the answer belongs to, or null when unsaid.
 * @property sealed whether the answer carries the target's signature.
 * @property notRun whether the target says that it did not run the request.
 * @property headers what is passed to the caller, in order.
 * @property length bytes of the body, or null when its end is told otherwise.
 */
public data class AnswerHead(
    public val status: Int,
    public val answers: String?,
    public val sealed: Boolean,
    public val notRun: Boolean,
    public val load: ReportedLoad?,
    public val headers: ImmutableList<Header>,
    public val length: Long? = null,
) {
    public val success: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Why an attempt ended without a whole answer. */
public enum class AttemptFailure(
    /** What it tells of the target. */
    public val outcome: AttemptOutcome,
) {
    /** No connection could be made; nothing was sent. */
    NOT_CONNECTED(AttemptOutcome.UNREACHABLE),

    /** The connection ended or was reset before the answer was whole. */
    BROKEN(AttemptOutcome.BROKEN),

    /** What came is no answer in the protocol. */
    MALFORMED(AttemptOutcome.FAILED),
}

/** Tuning of exchanges. */
public data class ExchangeOptions(
    /** Part of the latency objective for which a request may wait for room. */
    public val waitShare: Double = 0.12,
    /** Longest time for which a broken stream waits for room elsewhere. */
    public val resumeWait: Duration = RESUME_WAIT,
    /** Multiple of the objective after which a silent idempotent call is sent elsewhere. */
    public val silenceObjectives: Double = 1.5,
    /** Pause between events after which a stream goes on at the holder of its copy. */
    public val copyPatience: Duration = COPY_PATIENCE,
    /** Pause between events after which a stream without a copy is started elsewhere. */
    public val barePatience: Duration = BARE_PATIENCE,
    /** Silence after which a target is asked whether it lives. */
    public val probeAfter: Duration = PROBE_AFTER,
    /** Answers up to this size are held until they are whole, so that another try can follow. */
    public val heldBytes: Int = 262_144,
)
