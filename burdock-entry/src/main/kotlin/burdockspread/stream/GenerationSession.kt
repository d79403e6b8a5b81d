/** Drives one generation: the shell between its core, its engines and its readers. */
package burdockspread.stream

import burdockspread.generation.AttemptBudget
import burdockspread.generation.Generation
import burdockspread.generation.GenerationEffect
import burdockspread.generation.GenerationInput
import burdockspread.generation.GenerationListener
import burdockspread.generation.TokenLog
import burdockspread.id.TargetId
import burdockspread.observe.GenerationTag
import burdockspread.pool.poolOf
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs one generation to its end in a coroutine of its own.
 *
 * Inputs from engines pass through one channel, so that the core sees them one at a time; a full
 * channel holds the engine's stream back.
 */
internal class GenerationSession(
    private val services: SessionServices,
    val request: SessionRequest,
    tokens: TokenLog = TokenLog(),
) {
    private val tag =
        GenerationTag(
            request.key.organisation,
            request.key.request,
            request.generation,
            request.spec.model.value,
        )
    private val pool = poolOf(request.spec.model)
    private val budget = services.router.budget(pool)
    private val generation =
        Generation(
            request.spec,
            AttemptBudget { budget.tryTake() },
            services.tokenTimes,
            tokens,
            SessionListener(services.listener, tag),
        )
    private val inputs = Channel<GenerationInput>(INPUT_CAPACITY)
    private val attempts = AttemptRunner(services, request, tag, inputs)
    private val watch = ResumeWatch(services.listener, tag, request.receivedAt)
    private val state = MutableStateFlow(Progress(tokens.size))
    private val readers = AtomicInteger()

    /** How far the answer may be read. */
    val progress: StateFlow<Progress> = state.asStateFlow()

    /** Tokens accepted so far. */
    val tokens: TokenLog get() = generation.tokens

    /** Memory of this session in bytes, without its attempts' connections. */
    val bytes: Long get() = tokens.memoryBytes + request.body.promptText.length + OVERHEAD_BYTES

    /** Starts the first attempt. [onEnd] runs once the generation has ended. */
    fun start(onEnd: (GenerationSession) -> Unit) {
        budget.onFirstAttempt()
        services.scope.launch {
            perform(generation.handle(GenerationInput.Start, services.time.now()))
            while (!generation.closed) {
                val input = nextInput()
                perform(generation.handle(input, services.time.now()))
            }
            inputs.cancel()
            attempts.cancelAll()
            onEnd(this@GenerationSession)
        }
    }

    /** Adds a reader that begins at [offset]. */
    fun reader(offset: Int, restarted: Boolean = false): AnswerReader {
        readers.incrementAndGet()
        val branch = request.lineage.current
        return AnswerReader(
            request.generation,
            branch,
            offset,
            restarted,
            tokens,
            progress,
            ::readerLeft,
        )
    }

    /** Moves the generation away from [target]. */
    suspend fun move(target: TargetId) {
        if (progress.value.end == null) inputs.send(GenerationInput.Move(target))
    }

    private suspend fun nextInput(): GenerationInput {
        val deadline = generation.nextDeadline() ?: return inputs.receive()
        val wait = deadline - services.time.now()
        if (wait <= Duration.ZERO) return inputs.tryReceive().getOrNull() ?: GenerationInput.Tick
        return withTimeoutOrNull(wait) { inputs.receive() } ?: GenerationInput.Tick
    }

    private fun perform(effects: List<GenerationEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is GenerationEffect.OpenAttempt -> attempts.open(effect)
                is GenerationEffect.CancelAttempt -> attempts.cancel(effect.attempt)
                is GenerationEffect.Accepted -> accepted(effect)
                is GenerationEffect.Complete -> end(AnswerEnd.Whole(effect.reason))
                is GenerationEffect.Fail -> end(AnswerEnd.Broken(effect.refusal))
            }
        }
    }

    private fun accepted(effect: GenerationEffect.Accepted) {
        watch.accepted(effect.offset, attempts.opened, services.time.now())
        state.update { it.copy(released = tokens.size) }
    }

    private fun end(end: AnswerEnd) {
        state.update { Progress(tokens.size, end) }
        val refusal = (end as? AnswerEnd.Broken)?.refusal
        services.listener.generationEnded(tag, attempts.opened, tokens.size, refusal)
    }

    /** Cancels a generation that nobody has read for a while. */
    private fun readerLeft() {
        if (readers.decrementAndGet() > 0 || progress.value.end != null) return
        services.scope.launch {
            delay(ABANDON_AFTER)
            if (readers.get() == 0) inputs.trySend(GenerationInput.Cancel)
        }
    }

    private class SessionListener(
        private val listener: burdockspread.observe.EntryListener,
        private val tag: GenerationTag,
    ) : GenerationListener {
        override fun dropped(
            attempt: burdockspread.id.AttemptNumber,
            reason: burdockspread.generation.DropReason,
            tokens: Int,
        ): Unit = listener.tokensDropped(tag, attempt, reason, tokens)

        override fun stalled(attempt: burdockspread.id.AttemptNumber, target: TargetId?): Unit =
            listener.attemptFailed(tag, attempt, target, "STALLED")
    }

    private companion object {
        const val INPUT_CAPACITY = 64
        const val OVERHEAD_BYTES = 2_048L
        val ABANDON_AFTER = 20.seconds
    }
}
