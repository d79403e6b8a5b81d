/** Drives one generation over failing engines in virtual time. */
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

/** One generation under the project's core. The figures go to [figures]. */
internal class EngineRun(
    private val spec: GenerationSpec,
    private val deathsPerHour: Double,
    private val engines: EngineModel,
    private val figures: EngineStats,
    budget: AttemptBudget,
    times: TokenLatencyTracker,
    private var now: Instant,
) {
    private val generation = Generation(spec, budget, times)
    private val queue = PriorityQueue<Event>(compareBy { it.at })
    private val attempts = HashMap<AttemptNumber, Stream>()
    private val live = HashSet<AttemptNumber>()
    private var lostAt: Instant? = null

    /** Runs to the end and returns the time of the end. */
    fun run(): Instant {
        feed(GenerationInput.Start)
        while (!generation.isClosed) {
            val due = generation.nextDeadline()
            val event = queue.peek()
            when {
                event == null || due != null && due < event.at -> {
                    now = checkNotNull(due)
                    feed(GenerationInput.Tick)
                }
                else -> {
                    now = queue.remove().at
                    event.act()
                }
            }
        }
        figures.generations++
        return now
    }

    private fun feed(input: GenerationInput) =
        generation.handle(input, now).forEach { carryOut(it) }

    private fun carryOut(effect: GenerationEffect) {
        when (effect) {
            is GenerationEffect.OpenAttempt -> open(effect)
            is GenerationEffect.CancelAttempt -> live -= effect.attempt
            is GenerationEffect.Accepted -> accepted(effect.tokens.size)
            is GenerationEffect.Complete -> figures.completed++
            is GenerationEffect.Fail -> Unit
        }
    }

    private fun accepted(count: Int) {
        figures.delivered += count
        lostAt?.let { figures.resumed(now - it) }
        lostAt = null
    }

    private fun open(effect: GenerationEffect.OpenAttempt) {
        val number = effect.attempt
        val prefix = effect.prefix.size
        val uncached = engines.uncached(prefix, effect.preferCachedPrefix)
        if (number.value > 1) {
            figures.extraAttempts++
            figures.readAgain += uncached
        }
        live += number
        feed(GenerationInput.Opened(number, TargetId("t${number.value % TARGETS}")))
        val stream = Stream(number, prefix, now + engines.lifetime(deathsPerHour))
        attempts[number] = stream
        schedule(now + engines.prefill(uncached, effect.preferCachedPrefix), stream)
    }

    private fun schedule(at: Instant, stream: Stream) {
        if (at < stream.diesAt) {
            queue += Event(at) { deliver(stream) }
            return
        }
        queue += Event(stream.diesAt) { fail(stream) }
    }

    private fun deliver(stream: Stream) {
        if (stream.number !in live) return
        val offset = stream.next++
        if (offset < generation.tokens.size) figures.generatedTwice++
        feed(GenerationInput.Tokens(stream.number, offset, TOKEN))
        if (stream.next < spec.maxTokens) return schedule(now + engines.gap(), stream)
        feed(GenerationInput.Finished(stream.number, FinishReason.LENGTH, stream.next))
    }

    private fun fail(stream: Stream) {
        if (stream.number !in live) return
        figures.losses++
        if (lostAt == null) lostAt = now
        if (engines.fault() == EngineFault.FREEZES) {
            stream.diesAt = now + engines.freeze() + engines.lifetime(deathsPerHour)
            return schedule(now + engines.freeze(), stream)
        }
        live -= stream.number
        feed(GenerationInput.Failed(stream.number, FailureCause.CONNECTION_LOST))
    }

    private class Event(val at: Instant, val act: () -> Unit)

    private class Stream(val number: AttemptNumber, var next: Int, var diesAt: Instant)

    private companion object {
        const val TARGETS = 20
        val TOKEN = persistentListOf("tok ")
    }
}
