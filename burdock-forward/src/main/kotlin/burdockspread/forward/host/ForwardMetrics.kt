/** Feeds the meters of the forwarder; `docs/METRICS.md` lists them. */
package burdockspread.forward.host

import burdockspread.error.Refusal
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.ExchangeEffect
import burdockspread.forward.exchange.ExchangeListener
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.news.NewsListener
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.toJavaDuration

internal class ForwardMetrics(private val next: ForwardLog) :
    ExchangeListener,
    NewsListener {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val catalogVersion = AtomicLong()

    init {
        registry.gauge("burdock_forward_configuration_version", catalogVersion)
    }

    /** The meters as text. */
    fun scrape(): String = registry.scrape()

    /** Registers a figure that is read at each scrape. */
    fun gauge(name: String, read: () -> Number) {
        Gauge.builder(name, read).strongReference(true)
            .register(registry)
    }

    override fun onWaiting(call: Call, now: Instant) {
        count("burdock_forward_waits_total", "service", call.service.value)
        next.onWaiting(call, now)
    }

    override fun onSent(call: Call, send: ExchangeEffect.Send, now: Instant) {
        val kind = if (send.attempt == 1) "first" else "again"
        count("burdock_forward_attempts_total", "service", call.service.value, "kind", kind)
        next.onSent(call, send, now)
    }

    override fun onAttemptEnded(
        call: Call,
        attempt: Int,
        target: TargetEntry,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        val name = outcome.name.lowercase()
        count("burdock_forward_outcomes_total", "service", call.service.value, "outcome", name)
        next.onAttemptEnded(call, attempt, target, outcome, detail, now)
    }

    override fun onResumed(
        call: Call,
        attempt: Int,
        target: TargetEntry,
        pause: Duration,
        now: Instant,
    ) {
        timer("burdock_forward_resume_pause_seconds", call).record(pause.toJavaDuration())
        next.onResumed(call, attempt, target, pause, now)
    }

    override fun onAnswered(call: Call, status: Int, attempts: Int, now: Instant) {
        val took = (now - call.receivedAt).toJavaDuration()
        timer("burdock_forward_answer_seconds", call).record(took)
        next.onAnswered(call, status, attempts, now)
    }

    override fun onRefused(call: Call, refusal: Refusal, attempts: Int, now: Instant) {
        refused(refusal)
        next.onRefused(call, refusal, attempts, now)
    }

    override fun onBrokenOff(call: Call, reason: String, attempts: Int, now: Instant) {
        count("burdock_forward_broken_off_total", "service", call.service.value)
        next.onBrokenOff(call, reason, attempts, now)
    }

    override fun onCallerGone(call: Call, attempts: Int, now: Instant) {
        count("burdock_forward_callers_gone_total", "service", call.service.value)
        next.onCallerGone(call, attempts, now)
    }

    override fun onCatalog(catalog: Catalog, source: String) {
        catalogVersion.set(catalog.version)
        count("burdock_forward_configurations_total", "source", source)
        next.onCatalog(catalog, source)
    }

    override fun onCatalogUnreadable(version: Long, reason: String): Unit =
        next.onCatalogUnreadable(version, reason)

    override fun onTarget(entry: TargetEntry, version: Long): Unit = next.onTarget(entry, version)

    override fun onTargetGone(name: String, version: Long): Unit = next.onTargetGone(name, version)

    override fun onStoreLost(kind: String, reason: String) {
        count("burdock_forward_store_losses_total", "kind", kind)
        next.onStoreLost(kind, reason)
    }

    override fun onStoreRegained(kind: String): Unit = next.onStoreRegained(kind)

    /** A request that was refused before it was known to be a call. */
    fun onTurnedAway(id: String?, path: String, refusal: Refusal) {
        refused(refusal)
        next.onTurnedAway(id, path, refusal)
    }

    private fun refused(refusal: Refusal): Unit =
        count("burdock_forward_refusals_total", "code", refusal.code.number.toString())

    private fun count(name: String, vararg tags: String): Unit =
        registry.counter(name, *tags).increment()

    private fun timer(name: String, call: Call): Timer = Timer.builder(name)
        .tag("service", call.service.value)
        .serviceLevelObjectives(*OBJECTIVES)
        .register(registry)

    private companion object {
        /** Bounds of the histograms: the objectives of plain calls, pauses and first events. */
        val OBJECTIVES = longArrayOf(50, 100, 200, 400, 700, 1_500, 4_500, 25_000)
            .map { it.milliseconds.toJavaDuration() }
            .toTypedArray()
    }
}
