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
    override fun refused(request: RequestId, organisation: OrganisationId?, refusal: Refusal) {
        registry.counter("burdock.refusals", "code", "${refusal.code.number}").increment()
    }

    override fun attemptOpened(
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

    override fun attemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ) {
        registry.counter("burdock.attempts.failed", "model", tag.model, "cause", cause).increment()
    }

    override fun tokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ) {
        registry.counter("burdock.tokens.dropped", "reason", reason.name)
            .increment(tokens.toDouble())
    }

    override fun firstToken(tag: GenerationTag, after: Duration): Unit =
        timer("burdock.first.token", tag).record(after.toJavaDuration())

    override fun resumed(tag: GenerationTag, after: Duration, offset: Int): Unit =
        timer("burdock.resume.latency", tag).record(after.toJavaDuration())

    override fun generationEnded(
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

    override fun callEnded(
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
