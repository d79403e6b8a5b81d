/** Execution of a generation: connects its cores, engines and readers. */
package burdockspread.stream

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.generation.AttemptBudget
import burdockspread.generation.FinishReason
import burdockspread.generation.Generation
import burdockspread.generation.GenerationEffect
import burdockspread.generation.GenerationInput
import burdockspread.generation.TokenLog
import burdockspread.id.TargetId
import burdockspread.journal.CopyKey
import burdockspread.journal.EventId
import burdockspread.journal.JournalInput
import burdockspread.observe.GenerationTag
import burdockspread.pool.poolOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Runs a generation to its end in a dedicated coroutine.
 *
 * Inputs from engines and copy holders pass through one channel, so that the cores process them
 * sequentially; a full channel applies backpressure to the engine's stream.
 */
internal class GenerationSession(
    private val services: SessionServices,
    val request: SessionRequest,
    tokens: TokenLog = TokenLog(),
) : JournalOutput {
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
            AttemptBudget { budget.tryAcquire() },
            services.latencyTracker,
            tokens,
            SessionListener(services.listener, tag),
        )
    private val inputs = InputQueue<SessionInput>(INPUT_CAPACITY)
    private val attempts = AttemptRunner(services, request, tag, inputs)
    private val journal = JournalDriver(services, request, generation.tokens, inputs, this)
    private val latencyRecorder = ResumeLatencyRecorder(services.listener, tag, request.receivedAt)
    private val state = MutableStateFlow(Progress(tokens.size))
    private val readers = AtomicInteger()

    /** Progress of the response, up to which it may be read. */
    val progress: StateFlow<Progress> = state.asStateFlow()

    /** Tokens accepted so far, including those not yet released. */
    val tokens: TokenLog get() = generation.tokens

    /** Key of the generation's journal copies. */
    val copyKey: CopyKey get() = CopyKey(request.key, request.generation)

    /** Memory used by this session in bytes, excluding its attempts' connections. */
    val bytes: Long get() = tokens.memoryBytes + request.body.promptText.length + OVERHEAD_BYTES

    /** Starts the first attempt. [onEnd] is called once the generation has ended. */
    fun start(onEnd: (GenerationSession) -> Unit) {
        budget.onFirstAttempt()
        services.scope.launch {
            handle(SessionInput.ForGeneration(GenerationInput.Start))
            while (progress.value.end == null) handle(nextInput())
            inputs.close()
            attempts.cancelAll()
            onEnd(this@GenerationSession)
        }
    }

    /** Returns whether a caller that has received events up to [last] may resume here. */
    fun canResumeFrom(last: EventId?): Boolean = last == null ||
        last.generation == request.generation &&
        request.lineage.containsPrefix(last.branch, last.offset, progress.value.released)

    /** Adds a reader that starts at [offset]. */
    fun reader(offset: Int, restarted: Boolean = false): ResponseReader {
        readers.incrementAndGet()
        val start = EventId(request.generation, request.lineage.current, offset)
        return LocalReader(start, restarted, tokens, progress, ::onReaderClosed)
    }

    /** Moves the generation to another target if it runs at [target]. */
    suspend fun moveFrom(target: TargetId): Unit =
        enqueue(SessionInput.ForGeneration(GenerationInput.TargetDraining(target)))

    /** Hands the generation over to a copy holder, because this host shuts down. */
    suspend fun handOver(): Unit = enqueue(SessionInput.ForJournal(JournalInput.HandOver))

    override fun release(until: Int, finish: FinishReason?) {
        val next = Progress(until, finish?.let { ResponseEnd.Completed(it) })
        if (state.updateAndGet { if (it.end == null) next else it } !== next) return
        if (finish != null) services.listener.onGenerationEnded(tag, attempts.opened, until, null)
    }

    override fun abort(refusal: Refusal) {
        state.update { it.copy(end = ResponseEnd.Aborted(refusal)) }
        val released = state.value.released
        services.listener.onGenerationEnded(tag, attempts.opened, released, refusal)
    }

    private suspend fun enqueue(input: SessionInput) {
        if (progress.value.end == null) inputs.send(input)
    }

    private fun handle(input: SessionInput) {
        val now = services.time.now()
        when (input) {
            is SessionInput.ForGeneration -> perform(generation.handle(input.input, now), now)
            is SessionInput.ForJournal -> journal.handle(input.input, now)
            is SessionInput.NotAdmitted -> abort(input.refusal)
            is SessionInput.Tick -> {
                perform(generation.handle(GenerationInput.Tick, now), now)
                journal.handle(JournalInput.Tick, now)
            }
        }
    }

    private suspend fun nextInput(): SessionInput {
        val deadline = listOfNotNull(generation.nextDeadline(), journal.nextDeadline()).minOrNull()
        return inputs.next(deadline?.let { it - services.time.now() }) ?: SessionInput.Tick
    }

    private fun perform(effects: List<GenerationEffect>, now: Instant) {
        effects.forEach { effect ->
            when (effect) {
                is GenerationEffect.OpenAttempt -> attempts.open(effect)
                is GenerationEffect.CancelAttempt -> attempts.cancel(effect.attempt)
                is GenerationEffect.Accepted -> {
                    latencyRecorder.recordTokens(effect.offset, attempts.opened, now)
                    journal.handle(JournalInput.TokensAppended, now)
                }
                is GenerationEffect.Complete ->
                    journal.handle(JournalInput.Finished(effect.reason), now)
                is GenerationEffect.Fail -> abort(effect.refusal)
            }
        }
    }

    /** Cancels the generation if no caller reads it for [ABANDON_TIMEOUT]. */
    private fun onReaderClosed() {
        if (readers.decrementAndGet() > 0 || progress.value.end != null) return
        services.scope.launch {
            delay(ABANDON_TIMEOUT)
            if (readers.get() == 0) abandon()
        }
    }

    /** Ends the session. The tick only wakes its coroutine if it is waiting for input. */
    private fun abandon() {
        if (progress.value.end != null) return
        abort(ABANDONED_REFUSAL)
        inputs.trySend(SessionInput.Tick)
    }

    private companion object {
        const val INPUT_CAPACITY = 64
        const val OVERHEAD_BYTES = 2_048L
        val ABANDON_TIMEOUT = 20.seconds
        val ABANDONED_REFUSAL =
            Refusal(ErrorCode.GENERATION_LOST, "no caller read the response")
    }
}
