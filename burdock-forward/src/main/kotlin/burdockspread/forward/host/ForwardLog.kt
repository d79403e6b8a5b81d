/** One JSON line for each decision that touches a request or changes what the host believes. */
package burdockspread.forward.host

import burdockspread.error.Refusal
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.ExchangeEffect
import burdockspread.forward.exchange.ExchangeListener
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.log.LineBudget
import burdockspread.forward.news.NewsListener
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Writes the lines; `event` names the decision, `request` the caller's id. Warnings always pass,
 * other lines within their event's budget.
 */
internal class ForwardLog(private val now: () -> Instant) :
    ExchangeListener,
    NewsListener {
    /** Lines on requests, which come from the request loop. */
    private val requests = LineBudget()

    /** Lines on what the host believes, which come from the control loop. */
    private val beliefs = LineBudget()

    override fun onWaiting(call: Call, now: Instant): Unit =
        line(call, "waiting", now).info(requests)

    override fun onSent(call: Call, send: ExchangeEffect.Send, now: Instant) {
        if (send.attempt == 1) return
        line(call, if (send.resumeAfter == null) "retried" else "resumed", now)
            .with("attempt", send.attempt.toString())
            .with("target", send.target.id.value)
            .with("after_event", send.resumeAfter.orEmpty())
            .with("copy_at", send.copyAt.orEmpty())
            .info(requests)
    }

    override fun onAttemptEnded(
        call: Call,
        attempt: Int,
        target: TargetEntry,
        outcome: AttemptOutcome,
        detail: String,
        now: Instant,
    ) {
        if (outcome == AttemptOutcome.DONE) return
        line(call, "attempt_failed", now)
            .with("attempt", attempt.toString())
            .with("target", target.id.value)
            .with("address", target.address)
            .with("outcome", outcome.name)
            .with("detail", detail)
            .info(requests)
    }

    override fun onResumed(
        call: Call,
        attempt: Int,
        target: TargetEntry,
        pause: Duration,
        now: Instant,
    ): Unit = line(call, "goes_on", now)
        .with("attempt", attempt.toString())
        .with("target", target.id.value)
        .with("pause_ms", pause.inWholeMilliseconds.toString())
        .info(requests)

    override fun onAnswered(call: Call, status: Int, attempts: Int, now: Instant): Unit =
        line(call, "answered", now)
            .with("status", status.toString())
            .with("attempts", attempts.toString())
            .info(requests)

    override fun onRefused(call: Call, refusal: Refusal, attempts: Int, now: Instant): Unit =
        line(call, "refused", now)
            .with("code", refusal.code.number.toString())
            .with("status", refusal.code.httpStatus.toString())
            .with("truth", refusal.executionOutcome.name)
            .with("detail", refusal.detail)
            .with("retry_after", refusal.retryAfter?.toString().orEmpty())
            .with("attempts", attempts.toString())
            .warn()

    override fun onBrokenOff(call: Call, reason: String, attempts: Int, now: Instant): Unit =
        line(call, "broken_off", now)
            .with("detail", reason)
            .with("attempts", attempts.toString())
            .warn()

    override fun onCallerGone(call: Call, attempts: Int, now: Instant): Unit =
        line(call, "caller_gone", now).with("attempts", attempts.toString()).info(requests)

    override fun onCatalog(catalog: Catalog, source: String): Unit = news("configuration")
        .with("version", catalog.version.toString())
        .with("source", source)
        .with("routes", catalog.routes.size.toString())
        .info(beliefs)

    override fun onCatalogUnreadable(version: Long, reason: String): Unit =
        news("configuration_unreadable")
            .with("store_version", version.toString())
            .with("detail", reason)
            .warn()

    override fun onTarget(entry: TargetEntry, version: Long): Unit =
        news(if (entry.leaving) "target_leaving" else "target")
            .with("target", entry.id.value)
            .with("address", entry.address)
            .with("store_version", version.toString())
            .info(beliefs)

    override fun onTargetGone(name: String, version: Long): Unit = news(
        "target_gone",
    ).with("target", name).with("store_version", version.toString()).info(beliefs)

    override fun onStoreLost(kind: String, reason: String): Unit =
        news("store_lost").with("kind", kind).with("detail", reason).warn()

    override fun onStoreRegained(kind: String): Unit =
        news("store_regained").with("kind", kind).warn()

    /** A request that was refused before it was known to be a call. */
    fun onTurnedAway(id: String?, path: String, refusal: Refusal): Unit = news("turned_away")
        .with("request", id.orEmpty())
        .with("path", path)
        .with("code", refusal.code.number.toString())
        .with("status", refusal.code.httpStatus.toString())
        .with("detail", refusal.detail)
        .info(requests)

    fun onProcess(event: String, detail: String): Unit =
        log.info(news(event).with("detail", detail))

    private fun line(call: Call, event: String, now: Instant): StringMapMessage =
        StringMapMessage(CAPACITY)
            .with("event", event)
            .with("request", call.id)
            .with("service", call.service.value)
            .with("route", call.route.name)
            .with("ms", (now - call.receivedAt).inWholeMilliseconds.toString())

    private fun news(event: String): StringMapMessage =
        StringMapMessage(CAPACITY).with("event", event)

    private fun StringMapMessage.info(budget: LineBudget) {
        val at = now()
        if (budget.take(get("event").orEmpty(), at)) log.info(this)
        val leftOut = budget.report(at)
        if (leftOut.isNotEmpty()) log.warn(news("lines_left_out").with("counts", "$leftOut"))
    }

    private fun StringMapMessage.warn(): Unit = log.warn(this)

    private companion object {
        const val CAPACITY = 12
        val log = LogManager.getLogger("forward")
    }
}
