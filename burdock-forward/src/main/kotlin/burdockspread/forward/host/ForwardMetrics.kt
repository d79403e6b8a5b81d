/** Meters of the forwarder, listed in `docs/METRICS.md`. */
package burdockspread.forward.host

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
import burdockspread.forward.news.CatalogTransfer
import burdockspread.forward.news.HostViewListener
import burdockspread.forward.news.ViewUpdate
import burdockspread.id.TargetId
import burdockspread.store.ListResult
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.toJavaDuration

internal class ForwardMetrics(private val delegate: ForwardLog) :
    ExchangeListener,
    HostViewListener by delegate {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val catalogVersion = AtomicLong()

    init {
        registry.gauge("burdock_forward_configuration_version", catalogVersion)
    }

    /** Returns the meters in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Registers a gauge that is read at each scrape. */
    fun gauge(name: String, read: () -> Number) {
        Gauge.builder(name, read).strongReference(true)
            .register(registry)
    }

    override fun onWaiting(call: Call, now: Instant) {
        count("burdock_forward_queued_total", "service", call.service.value)
        delegate.onWaiting(call, now)
    }

    override fun onSent(call: Call, send: ExchangeEffect.Send, now: Instant) {
        val kind = if (send.attemptNumber == 1) "first" else "retry"
        count("burdock_forward_attempts_total", "service", call.service.value, "kind", kind)
        delegate.onSent(call, send, now)
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
        val name = outcome.name.lowercase()
        count("burdock_forward_outcomes_total", "service", call.service.value, "outcome", name)
        if (outcome in BREAKS) {
            val service = call.service.value
            count("burdock_forward_breaks_total", "service", service, "phase", phase(progress))
        }
        delegate.onAttemptEnded(call, attemptNumber, target, outcome, detail, progress, now)
    }

    override fun onTakeoverRequested(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        silence: Duration,
        now: Instant,
    ) {
        countSilence(call, "takeover_requested")
        delegate.onTakeoverRequested(call, attemptNumber, target, silence, now)
    }

    override fun onNotice(call: Call, target: TargetEntry, notice: TargetNotice, now: Instant) {
        val kind = if (notice.isLeaving) "leaving" else "retry_after"
        count("burdock_forward_notices_total", "service", call.service.value, "kind", kind)
        delegate.onNotice(call, target, notice, now)
    }

    override fun onTakeoverWithdrawn(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        reason: String,
        now: Instant,
    ) {
        countSilence(call, "takeover_withdrawn")
        delegate.onTakeoverWithdrawn(call, attemptNumber, target, reason, now)
    }

    override fun onSilenceTolerated(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        reason: String,
        now: Instant,
    ) {
        countSilence(call, "tolerated")
        delegate.onSilenceTolerated(call, attemptNumber, target, reason, now)
    }

    override fun onResumed(
        call: Call,
        attemptNumber: Int,
        target: TargetEntry,
        pause: Duration,
        now: Instant,
    ) {
        registry.timer("burdock_forward_resume_pause_seconds", call).record(pause.toJavaDuration())
        delegate.onResumed(call, attemptNumber, target, pause, now)
    }

    override fun onResponded(
        call: Call,
        status: Int,
        attempts: Int,
        target: TargetEntry,
        now: Instant,
    ) {
        val took = (now - call.receivedAt).toJavaDuration()
        registry.timer("burdock_forward_response_seconds", call).record(took)
        delegate.onResponded(call, status, attempts, target, now)
    }

    override fun onRefused(call: Call, refusal: Refusal, attempts: Int, now: Instant) {
        countRefusal(refusal)
        delegate.onRefused(call, refusal, attempts, now)
    }

    override fun onResponseAborted(call: Call, reason: String, attempts: Int, now: Instant) {
        count("burdock_forward_aborted_responses_total", "service", call.service.value)
        delegate.onResponseAborted(call, reason, attempts, now)
    }

    override fun onCallerGone(call: Call, attempts: Int, now: Instant) {
        count("burdock_forward_disconnected_callers_total", "service", call.service.value)
        delegate.onCallerGone(call, attempts, now)
    }

    override fun onCatalogChanged(catalog: Catalog, transfer: CatalogTransfer) {
        catalogVersion.set(catalog.version)
        val name = "burdock_forward_configurations_total"
        count(name, "source", transfer.source, "form", transfer.form)
        delegate.onCatalogChanged(catalog, transfer)
    }

    override fun onListed(kind: String, listed: ListResult.Listed) {
        val age = if (listed.version < listed.newestVersion) "mixed" else "single"
        count("burdock_forward_store_lists_total", "kind", kind, "age", age)
        delegate.onListed(kind, listed)
    }

    override fun onEntryIgnored(kind: String): Unit =
        count("burdock_forward_entries_ignored_total", "kind", kind)

    override fun onTargetState(id: TargetId, change: DirectoryChange, update: ViewUpdate) {
        count("burdock_forward_target_changes_total", "change", change.name.lowercase())
        delegate.onTargetState(id, change, update)
    }

    override fun onStoreLost(kind: String, reason: String) {
        count("burdock_forward_store_losses_total", "kind", kind)
        delegate.onStoreLost(kind, reason)
    }

    /** Counts a request that was refused before it was resolved into a call. */
    fun onRequestRejected(id: String?, path: String, refusal: Refusal) {
        countRefusal(refusal)
        delegate.onRequestRejected(id, path, refusal)
    }

    /** Counts the end of a caller's connection. */
    fun onCallerConnectionEnded(end: CallerConnectionEnd) {
        val reason = end.reason.name.lowercase()
        count("burdock_forward_caller_connections_closed_total", "reason", reason)
        delegate.onCallerConnectionEnded(end)
    }

    /** Counts a request that arrived after the end of its connection was decided. */
    fun onCallerRequestDropped(id: String?, reason: CallerConnectionEnd.Reason) {
        val name = reason.name.lowercase()
        count("burdock_forward_caller_requests_dropped_total", "reason", name)
        delegate.onCallerRequestDropped(id, reason)
    }

    /** Logs that something could not be written to the [caller] whose connection was ending. */
    fun onCallerWriteFailed(caller: String, cause: Throwable): Unit =
        delegate.onCallerWriteFailed(caller, cause)

    /** Counts an unexpected exception, which ended the request with [id]. */
    fun onInternalError(id: String, cause: Throwable) {
        count("burdock_forward_internal_errors_total")
        delegate.onInternalError(id, cause)
    }

    private fun countSilence(call: Call, conclusion: String): Unit = count(
        "burdock_forward_silences_total",
        "service",
        call.service.value,
        "conclusion",
        conclusion,
    )

    private fun countRefusal(refusal: Refusal): Unit =
        count("burdock_forward_refusals_total", "code", refusal.code.number.toString())

    /** Increments the counter [name] with [tags], which are names and values by turns. */
    fun count(name: String, vararg tags: String): Unit = registry.counter(name, *tags).increment()

    private companion object {
        val BREAKS = setOf(AttemptOutcome.BROKEN, AttemptOutcome.CRASHED)
    }
}

private fun phase(progress: AttemptProgress): String = when {
    progress.sinceBegun == null -> "waiting"
    progress.events == 0 -> "begun"
    else -> "streaming"
}

private fun MeterRegistry.timer(name: String, call: Call): Timer = Timer.builder(name)
    .tag("service", call.service.value)
    .serviceLevelObjectives(*OBJECTIVES)
    .register(this)

/** Histogram buckets at the objectives of plain calls, pauses and first events. */
private val OBJECTIVES = longArrayOf(50, 100, 200, 400, 700, 1_500, 4_500, 25_000)
    .map { it.milliseconds.toJavaDuration() }
    .toTypedArray()
