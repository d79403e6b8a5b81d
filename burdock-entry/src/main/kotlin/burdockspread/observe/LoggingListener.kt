/** Logging of request outcomes and of the events that explain them. */
package burdockspread.observe

import burdockspread.error.Refusal
import burdockspread.generation.DropReason
import burdockspread.id.AttemptNumber
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.id.TargetId
import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.LogManager
import kotlin.time.Duration

/** Listener that logs events with the ids of the request, generation and so on as fields. */
internal class LoggingListener : EntryListener {
    override fun onRefused(request: RequestId, organisation: OrganisationId?, refusal: Refusal) {
        val context = CloseableThreadContext.put("request", request.value)
        organisation?.let { context.put("organisation", it.value) }
        context.put("code", "${refusal.code.number}").put("truth", refusal.executionOutcome.name)
        context.use { log.info("request rejected: {}", refusal.detail) }
    }

    override fun onAttemptOpened(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId,
        prefixTokens: Int,
    ) {
        context(tag, attempt, target)
            .put("offset", "$prefixTokens")
            .use { log.debug("attempt opened") }
    }

    override fun onAttemptFailed(
        tag: GenerationTag,
        attempt: AttemptNumber,
        target: TargetId?,
        cause: String,
    ) {
        context(tag, attempt, target).put("cause", cause).use { log.warn("attempt failed") }
    }

    override fun onAttemptTokensDropped(
        tag: GenerationTag,
        attempt: AttemptNumber,
        reason: DropReason,
        tokens: Int,
    ) {
        context(tag, attempt, null)
            .put("reason", reason.name)
            .put("tokens", "$tokens")
            .use { log.debug("tokens discarded") }
    }

    override fun onResumed(tag: GenerationTag, latency: Duration, offset: Int) {
        context(tag, null, null)
            .put("resumeMillis", "${latency.inWholeMilliseconds}")
            .put("offset", "$offset")
            .use { log.info("generation resumed") }
    }

    override fun onGenerationEnded(
        tag: GenerationTag,
        attempts: Int,
        tokens: Int,
        refusal: Refusal?,
    ) {
        val context = context(tag, null, null).put("attempts", "$attempts").put("tokens", "$tokens")
        refusal?.let {
            context.put("code", "${it.code.number}").put("truth", it.executionOutcome.name)
        }
        context.use {
            log.info(if (refusal == null) "generation completed" else "generation failed")
        }
    }

    override fun onCallEnded(
        request: RequestId,
        organisation: OrganisationId,
        call: String,
        target: TargetId?,
        outcome: String,
    ) {
        val context = CloseableThreadContext.put("request", request.value)
        context.put("organisation", organisation.value).put("call", call)
        target?.let { context.put("target", it.value) }
        context.use { log.info("call ended: {}", outcome) }
    }

    private fun context(
        tag: GenerationTag,
        attempt: AttemptNumber?,
        target: TargetId?,
    ): CloseableThreadContext.Instance {
        val context =
            CloseableThreadContext
                .put("request", tag.request.value)
                .put("generation", tag.generation.value)
                .put("organisation", tag.organisation.value)
                .put("model", tag.model)
        attempt?.let { context.put("attempt", "$it") }
        target?.let { context.put("target", it.value) }
        return context
    }

    private companion object {
        val log = LogManager.getLogger("outcome")
    }
}
