/** Simulates one generation on failing engines, in virtual time. */
package burdockspread.bench.generation

import burdockspread.generation.AttemptBudget
import burdockspread.generation.FailureCause
import burdockspread.generation.FinishReason
import burdockspread.generation.Generation
import burdockspread.generation.GenerationEffect
import burdockspread.generation.GenerationInput
import burdockspread.generation.GenerationSpec
import burdockspread.generation.TokenLatencyTracker
import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentListOf
import java.util.PriorityQueue
import kotlin.time.Instant

/** A generation driven by the production [Generation] state machine; adds to [stats]. */
internal class EngineRun(
    private val spec: GenerationSpec,
    private val failuresPerHour: Double,
    private val engines: EngineModel,
    private val stats: EngineStats,
    budget: AttemptBudget,
    tokenLatency: TokenLatencyTracker,
    private var now: Instant,
) {
    private val generation = Generation(spec, budget, tokenLatency)
    private val queue = PriorityQueue<Event>(compareBy { it.at })
    private val attempts = HashMap<AttemptNumber, Stream>()
    private val live = HashSet<AttemptNumber>()
    private var lostAt: Instant? = null

    /** Runs the generation until it is closed and returns the time of its end. */
    fun run(): Instant {
        feed(GenerationInput.Start)
        while (!generation.isClosed) {
            val deadline = generation.nextDeadline()
            val event = queue.peek()
            when {
                event == null || deadline != null && deadline < event.at -> {
                    now = checkNotNull(deadline)
                    feed(GenerationInput.Tick)
                }
                else -> {
                    now = queue.remove().at
                    event.action()
                }
            }
        }
        stats.generations++
        return now
    }

    private fun feed(input: GenerationInput) = generation.handle(input, now).forEach { execute(it) }

    private fun execute(effect: GenerationEffect) {
        when (effect) {
            is GenerationEffect.OpenAttempt -> open(effect)
            is GenerationEffect.CancelAttempt -> live -= effect.attempt
            is GenerationEffect.Accepted -> onAccepted(effect.tokens.size)
            is GenerationEffect.Complete -> stats.completed++
            is GenerationEffect.Fail -> Unit
        }
    }

    private fun onAccepted(count: Int) {
        stats.delivered += count
        lostAt?.let { stats.recordResume(now - it) }
        lostAt = null
    }

    private fun open(effect: GenerationEffect.OpenAttempt) {
        val number = effect.attempt
        val prefix = effect.prefix.size
        val uncachedTokens = engines.uncachedTokens(prefix, effect.preferCachedPrefix)
        if (number.value > 1) {
            stats.extraAttempts++
            stats.reprefilledTokens += uncachedTokens
        }
        live += number
        feed(GenerationInput.Opened(number, TargetId("t${number.value % TARGETS}")))
        val stream = Stream(number, prefix, now + engines.uptime(failuresPerHour))
        attempts[number] = stream
        schedule(now + engines.prefill(uncachedTokens, effect.preferCachedPrefix), stream)
    }

    private fun schedule(at: Instant, stream: Stream) {
        if (at < stream.failsAt) {
            queue += Event(at) { deliver(stream) }
            return
        }
        queue += Event(stream.failsAt) { fail(stream) }
    }

    private fun deliver(stream: Stream) {
        if (stream.number !in live) return
        val offset = stream.next++
        if (offset < generation.tokens.size) stats.duplicateTokens++
        feed(GenerationInput.Tokens(stream.number, offset, TOKEN))
        if (stream.next < spec.maxTokens) return schedule(now + engines.tokenInterval(), stream)
        feed(GenerationInput.Finished(stream.number, FinishReason.LENGTH, stream.next))
    }

    private fun fail(stream: Stream) {
        if (stream.number !in live) return
        stats.losses++
        if (lostAt == null) lostAt = now
        if (engines.fault() == EngineFault.FREEZES) {
            stream.failsAt = now + engines.freezeDuration() + engines.uptime(failuresPerHour)
            return schedule(now + engines.freezeDuration(), stream)
        }
        live -= stream.number
        feed(GenerationInput.Failed(stream.number, FailureCause.CONNECTION_LOST))
    }

    private class Event(val at: Instant, val action: () -> Unit)

    private class Stream(val number: AttemptNumber, var next: Int, var failsAt: Instant)

    private companion object {
        const val TARGETS = 20
        val TOKEN = persistentListOf("tok ")
    }
}
