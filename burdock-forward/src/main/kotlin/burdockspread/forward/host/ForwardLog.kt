/** Structured log of requests and of changes to the host's view. */
package burdockspread.forward.host

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.DirectoryChange
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.exchange.AttemptProgress
import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.ExchangeEffect
import burdockspread.forward.exchange.ExchangeListener
import burdockspread.forward.http.CallerConnectionEnd
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.TargetNotice
import burdockspread.forward.log.LogRateLimiter
import burdockspread.forward.news.CatalogTransfer
import burdockspread.forward.news.HostViewListener
import burdockspread.forward.news.ViewUpdate
import burdockspread.id.TargetId
import burdockspread.store.ListResult
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Writes one JSON line per event; `event` is its name and `request` the caller's id. Warnings are
 * always written, other lines are subject to their event's rate limit.
 */
internal class ForwardLog(private val now: () -> Instant) :
    ExchangeListener,
    HostViewListener {
    /** Limits lines about requests, which are written by the request loop. */
    private val requestLimiter = LogRateLimiter()

    /** Limits lines about the host's view, which are written by the control loop. */
    private val stateLimiter = LogRateLimiter()

    override fun onWaiting(call: Call, now: Instant): Unit =
        requestEvent(call, "waiting", now).info(requestLimiter)

    override fun onSent(call: Call, send: ExchangeEffect.Send, now: Instant) {
        if (send.attemptNumber == 1) return
        requestEvent(call, if (send.resumeAfterEventId == null) "retried" else "resumed", now)
            .with("attempt", send.attemptNumber.toString())
            .with("target", send.target.id.value)
            .with("after_event", send.resumeAfterEventId.orEmpty())
            .with("replica_address", send.replicaAddress.orEmpty())
            .info(requestLimiter)
    }

    override fun onAttemptEnded(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        outcome: AttemptOutcome,
        detail: String,
        progress: AttemptProgress,
        now: Instant,
    ) {
        if (outcome == AttemptOutcome.DONE) return
        val event = requestEvent(call, "attempt_failed", now)
            .with("attempt", attemptNumber.toString())
            .withTarget(target)
            .with("address", target.address)
            .with("outcome", outcome.name)
            .with("detail", detail)
            .with("begun_ms", progress.sinceBegun?.inWholeMilliseconds?.toString().orEmpty())
            .with("events", progress.events.toString())
            .with("parts", call.prompt?.sharedParts.orEmpty().toHex())
        if (outcome == AttemptOutcome.MALFORMED) {
            event.with("code", ErrorCode.MALFORMED_RESPONSE.number.toString())
        }
        event.info(requestLimiter)
    }

    override fun onTakeoverRequested(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        silence: Duration,
        now: Instant,
    ): Unit = requestEvent(call, "takeover_requested", now)
        .with("attempt", attemptNumber.toString())
        .with("target", target.id.value)
        .with("silence_ms", silence.inWholeMilliseconds.toString())
        .info(requestLimiter)

    override fun onTakeoverWithdrawn(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        reason: String,
        now: Instant,
    ): Unit = requestEvent(call, "takeover_withdrawn", now)
        .with("attempt", attemptNumber.toString())
        .with("target", target.id.value)
        .with("detail", reason)
        .info(requestLimiter)

    override fun onSilenceTolerated(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        reason: String,
        now: Instant,
    ): Unit = requestEvent(call, "silence_tolerated", now)
        .with("attempt", attemptNumber.toString())
        .with("target", target.id.value)
        .with("detail", reason)
        .info(requestLimiter)

    override fun onNotice(
        call: Call,
        target: TargetEntry,
        notice: TargetNotice,
        now: Instant,
    ): Unit = requestEvent(call, "target_notice", now)
        .with("target", target.id.value)
        .with("leaving", notice.isLeaving.toString())
        .with("retry_after", notice.retryAfter?.toString().orEmpty())
        .info(requestLimiter)

    override fun onResumed(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        pause: Duration,
        now: Instant,
    ): Unit = requestEvent(call, "resume_succeeded", now)
        .with("attempt", attemptNumber.toString())
        .with("target", target.id.value)
        .with("pause_ms", pause.inWholeMilliseconds.toString())
        .info(requestLimiter)

    override fun onResponded(
        call: Call,
        status: Int,
        attempts: Int,
        target: TargetEntry,
        now: Instant,
    ): Unit = requestEvent(call, "responded", now)
        .with("status", status.toString())
        .with("attempts", attempts.toString())
        .withTarget(target)
        .info(requestLimiter)

    override fun onRefused(call: Call, refusal: Refusal, attempts: Int, now: Instant): Unit =
        requestEvent(call, "refused", now)
            .with("code", refusal.code.number.toString())
            .with("status", refusal.code.httpStatus.toString())
            .with("truth", refusal.executionOutcome.name)
            .with("detail", refusal.detail)
            .with("retry_after", refusal.retryAfter?.toString().orEmpty())
            .with("attempts", attempts.toString())
            .warn()

    override fun onResponseAborted(call: Call, reason: String, attempts: Int, now: Instant): Unit =
        requestEvent(call, "response_aborted", now)
            .with("detail", reason)
            .with("attempts", attempts.toString())
            .warn()

    override fun onCallerGone(call: Call, attempts: Int, now: Instant): Unit =
        requestEvent(call, "caller_disconnected", now)
            .with("attempts", attempts.toString())
            .info(requestLimiter)

    override fun onCatalogChanged(catalog: Catalog, transfer: CatalogTransfer): Unit =
        stateEvent("configuration")
            .with("version", catalog.version.toString())
            .with("source", transfer.source)
            .with("form", transfer.form)
            .with("size", transfer.size.toString())
            .with("routes", catalog.routes.size.toString())
            .info(stateLimiter)

    override fun onCatalogUnreadable(version: Long, reason: String): Unit =
        stateEvent("configuration_invalid")
            .with("store_version", version.toString())
            .with("detail", reason)
            .warn()

    override fun onListed(kind: String, listed: ListResult.Listed): Unit =
        stateEvent("store_listed")
            .with("kind", kind)
            .with("objects", listed.objects.size.toString())
            .with("cached", listed.isCached.toString())
            .with("store_version", listed.version.toString())
            .with("newest_version", listed.newestVersion.toString())
            .info(stateLimiter)

    override fun onTargetChanged(entry: TargetEntry, version: Long, source: String): Unit =
        stateEvent(if (entry.isDraining) "target_leaving" else "target")
            .with("target", entry.id.value)
            .with("address", entry.address)
            .with("source", source)
            .with("store_version", version.toString())
            .info(stateLimiter)

    override fun onTargetState(id: TargetId, change: DirectoryChange, update: ViewUpdate) {
        val event = when (change) {
            DirectoryChange.LISTED -> return
            DirectoryChange.UNCONFIRMED -> "target_unconfirmed"
            else -> "target_removed"
        }
        stateEvent(event)
            .with("target", id.value)
            .with("cause", change.name.lowercase())
            .with("source", update.source)
            .with("store_version", update.version.toString())
            .with("view_age_ms", update.age.inWholeMilliseconds.toString())
            .info(stateLimiter)
    }

    override fun onWatchOvertaken(kind: String, version: Long): Unit = stateEvent("watch_overtaken")
        .with("kind", kind)
        .with("store_version", version.toString())
        .info(stateLimiter)

    override fun onStoreLost(kind: String, reason: String): Unit =
        stateEvent("store_lost").with("kind", kind).with("detail", reason).warn()

    override fun onStoreReconnected(kind: String): Unit =
        stateEvent("store_reconnected").with("kind", kind).warn()

    /** Logs a request that was refused before it was resolved into a call. */
    fun onRequestRejected(id: String?, path: String, refusal: Refusal): Unit =
        stateEvent("rejected")
            .with("request", id.orEmpty())
            .with("path", path)
            .with("code", refusal.code.number.toString())
            .with("status", refusal.code.httpStatus.toString())
            .with("detail", refusal.detail)
            .info(requestLimiter)

    /** Logs the end of a caller's connection; a warning if a request was lost with it. */
    fun onCallerConnectionEnded(end: CallerConnectionEnd) {
        val event = stateEvent("caller_connection_closed")
            .with("reason", end.reason.name.lowercase())
            .with("cause", end.cause?.let(::describe).orEmpty())
            .with("state", end.state.name.lowercase())
            .with("caller", end.caller)
            .with("request", end.requestId.orEmpty())
            .with("answered", end.answered.toString())
            .with("unfinished_bytes", end.unfinishedBytes.toString())
            .with("pipelined_messages", end.pipelinedMessages.toString())
            .with("idle_ms", end.idle.inWholeMilliseconds.toString())
            .with("limit_ms", end.limit.inWholeMilliseconds.toString())
        if (end.dropsRequest) event.warn() else event.info(requestLimiter)
    }

    /**
     * Logs a request that arrived after its connection's end for [reason] was decided; a warning
     * unless a response had told the caller of the end.
     */
    fun onCallerRequestDropped(id: String?, reason: CallerConnectionEnd.Reason) {
        val event = stateEvent("caller_request_dropped")
            .with("request", id.orEmpty())
            .with("reason", reason.name.lowercase())
        if (reason.isAnnounced) event.info(requestLimiter) else event.warn()
    }

    /** Logs that something could not be written to the [caller] whose connection was ending. */
    fun onCallerWriteFailed(caller: String, cause: Throwable): Unit =
        stateEvent("caller_write_failed")
            .with("caller", caller)
            .with("cause", describe(cause))
            .info(requestLimiter)

    /** Logs an unexpected exception, which ended the request with [id]. */
    fun onInternalError(id: String, cause: Throwable): Unit = stateEvent("internal_error")
        .with("request", id)
        .with("code", ErrorCode.INTERNAL.number.toString())
        .with("detail", cause.stackTraceToString())
        .info(requestLimiter)

    fun onProcess(event: String, detail: String): Unit =
        log.info(stateEvent(event).with("detail", detail))

    /** Logs that the host exits although something is left to write or to close. */
    fun onStopIncomplete(detail: String): Unit = stateEvent("stopped")
        .with("detail", detail)
        .warn()

    private fun StringMapMessage.info(limiter: LogRateLimiter) {
        val at = now()
        if (limiter.tryAcquire(get("event").orEmpty(), at)) log.info(this)
        val dropped = limiter.takeSuppressed(at)
        if (dropped.isNotEmpty()) {
            log.warn(
                stateEvent("lines_suppressed").with("counts", "$dropped"),
            )
        }
    }

    private fun StringMapMessage.warn(): Unit = log.warn(this)

    private companion object {
        val log = LogManager.getLogger("forward")
    }
}

private fun requestEvent(call: Call, event: String, now: Instant): StringMapMessage =
    stateEvent(event)
        .with("request", call.id)
        .with("service", call.service.value)
        .with("route", call.route.name)
        .with("ms", (now - call.receivedAt).inWholeMilliseconds.toString())

private fun stateEvent(event: String): StringMapMessage =
    StringMapMessage(CAPACITY).with("event", event)

/** Names [target] and the store version of what the host believes of it. */
private fun StringMapMessage.withTarget(target: TargetEntry): StringMapMessage =
    with("target", target.id.value).with("target_version", target.storeVersion.toString())

/** Usual number of fields of a line. */
private const val CAPACITY = 16

private fun describe(cause: Throwable) = "${cause::class.qualifiedName}: ${cause.message}"
