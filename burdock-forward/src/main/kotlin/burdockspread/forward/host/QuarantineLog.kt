/** Log lines and counters of the quarantine. */
package burdockspread.forward.host

import burdockspread.forward.log.LogRateLimiter
import burdockspread.forward.quarantine.CrashRecord
import burdockspread.forward.quarantine.Verdict
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import kotlin.time.Instant

/**
 * Reports what a [QuarantineHost] decides or learns. Changes of verdicts are rare and always
 * logged, crashes up to the rate limit of their event. Confined to the request loop.
 */
internal class QuarantineLog(private val metrics: ForwardMetrics) {
    private val limiter = LogRateLimiter()

    /** Called when this host has seen a crash that accuses a prompt. */
    fun onCrash(crash: CrashRecord, now: Instant) {
        metrics.count("burdock_forward_prompt_crashes_total")
        if (!limiter.tryAcquire(CRASH, now)) return
        log.info(
            event(CRASH)
                .with("request", crash.request)
                .with("parts", crash.parts.toHex())
                .with("target", crash.target.value)
                .with("begun", crash.hasBegun.toString())
                .with("exposed_ms", (crash.brokenAt - crash.exposedAt).inWholeMilliseconds),
        )
    }

    /** Called when [verdict] came into force or was extended, by the decision of [source]. */
    fun onVerdict(verdict: Verdict, source: String) {
        count("decided")
        log.warn(
            event("prompt_quarantined", verdict)
                .with("source", source)
                .with("until", verdict.until.toString())
                .with("evidence", verdict.evidence.joinToString()),
        )
    }

    /** Called when a request is admitted in spite of [verdict]. */
    fun onTrial(verdict: Verdict) {
        count("trial")
        log.warn(event("prompt_trial", verdict))
    }

    /** Called when [verdict] has become void for [reason]. */
    fun onLifted(verdict: Verdict, reason: String) {
        count("lifted")
        log.warn(event("quarantine_lifted", verdict).with("reason", reason))
    }

    /** Called when [verdict] has ended without a decision. */
    fun onExpired(verdict: Verdict) {
        count("expired")
        log.warn(event("quarantine_expired", verdict))
    }

    private fun count(change: String): Unit =
        metrics.count("burdock_forward_verdicts_total", "change", change)

    private fun event(name: String) = StringMapMessage(CAPACITY).with("event", name)

    private fun event(name: String, verdict: Verdict) = event(name)
        .with("verdict", verdict.id.toString())
        .with("parts", verdict.parts.toHex())
        .with("acquitted", verdict.acquitted.toHex())

    private companion object {
        const val CRASH = "prompt_crash"
        const val CAPACITY = 8
        val log = LogManager.getLogger("forward")
    }
}

/** Returns the id of a part of a prompt as on the wire. */
internal fun Long.toHex(): String = toULong().toString(HEXADECIMAL)

internal fun Set<Long>.toHex(): String = joinToString(",") { it.toHex() }

internal const val HEXADECIMAL: Int = 16
