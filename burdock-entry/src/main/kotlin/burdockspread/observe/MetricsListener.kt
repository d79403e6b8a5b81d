/** Metrics of an entry host. */
package burdockspread.observe

import burdockspread.error.Refusal
import burdockspread.generation.DropReason
import burdockspread.id.AttemptNumber
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.id.TargetId
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Listener that updates the meters listed in `docs/METRICS.md`. */
internal class MetricsListener(private val registry: MeterRegistry) : EntryListener {
    override fun onRefused(request: RequestId, organisation: OrganisationId?, refusal: Refusal) {
        registry.counter("burdock.refusals", "code", "${refusal.code.number}").increment()
    }

    override fun onAttemptOpened(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId,
        prefixTokens: Int,
    ) {
        val kind = if (attempt.value == 1) "first" else "extra"
        registry.counter("burdock.attempts", "model", tag.model, "kind", kind).increment()
        registry.counter("burdock.tokens.recomputed", "model", tag.model)
            .increment(prefixTokens.toDouble())
    }

    override fun onAttemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ) {
        registry.counter("burdock.attempts.failed", "model", tag.model, "cause", cause).increment()
    }

    override fun onAttemptTokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ) {
        registry.counter("burdock.tokens.dropped", "reason", reason.name)
            .increment(tokens.toDouble())
    }

    override fun onFirstToken(tag: GenerationTag, latency: Duration): Unit =
        timer("burdock.first.token", tag).record(latency.toJavaDuration())

    override fun onResumed(tag: GenerationTag, latency: Duration, offset: Int): Unit =
        timer("burdock.resume.latency", tag).record(latency.toJavaDuration())

    override fun onGenerationEnded(
        tag: GenerationTag,
        attempts: Int,
        tokens: Int,
        refusal: Refusal?,
    ) {
        val outcome = refusal?.code?.number?.toString() ?: "whole"
        registry.counter("burdock.generations", "model", tag.model, "outcome", outcome).increment()
        registry.counter("burdock.tokens.delivered", "model", tag.model)
            .increment(tokens.toDouble())
    }

    override fun onCallEnded(
        request: RequestId,
        organisation: OrganisationId,
        call: String,
        target: TargetId?,
        outcome: String,
    ) {
        registry.counter("burdock.calls", "call", call, "outcome", outcome).increment()
    }

    private fun timer(name: String, tag: GenerationTag): Timer = Timer
        .builder(name)
        .tag("model", tag.model)
        .publishPercentileHistogram()
        .register(registry)
}
