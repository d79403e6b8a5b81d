/** Execution of a generation's attempts at engines. */
package burdockspread.stream

import burdockspread.generation.FailureCause
import burdockspread.generation.FinishReason
import burdockspread.generation.GenerationEffect
import burdockspread.generation.GenerationInput
import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import burdockspread.observe.GenerationTag
import burdockspread.pool.Route
import burdockspread.pool.poolOf
import burdockspread.route.PromptBlocks
import burdockspread.route.RequestFailure
import burdockspread.route.RouteRequest
import burdockspread.target.engine.EngineCall
import burdockspread.target.engine.EngineEvent
import burdockspread.target.engine.EngineFailure
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Opens and cancels attempts, and converts engine events to inputs of the core. */
internal class AttemptRunner(
    private val services: SessionServices,
    private val request: SessionRequest,
    private val tag: GenerationTag,
    private val inputs: InputQueue<SessionInput>,
) {
    private val jobs = ConcurrentHashMap<AttemptNumber, Job>()

    private val blocks = PromptBlocks.ofText(request.body.promptText, request.version)

    /** Number of attempts opened so far. */
    @Volatile
    var opened: Int = 0
        private set

    /** Starts the attempt described by [effect]. */
    fun open(effect: GenerationEffect.OpenAttempt) {
        opened++
        jobs[effect.attempt] =
            services.scope.launch {
                run(effect)
                jobs.remove(effect.attempt)
            }
    }

    /** Cancels [attempt], including its request at the engine. */
    fun cancel(attempt: AttemptNumber) {
        jobs.remove(attempt)?.cancel()
    }

    /** Cancels all running attempts. */
    fun cancelAll() {
        jobs.keys.forEach(::cancel)
    }

    private suspend fun run(effect: GenerationEffect.OpenAttempt) {
        val pool = poolOf(request.spec.model)
        if (effect.attempt.value > 1 || effect.prefix.isNotEmpty()) {
            val route = services.router.route(pool, routeRequest(effect), services.time.now())
            return route.fold(
                { failed(effect.attempt, null, FailureCause.NO_TARGET) },
                { send(effect, it) },
            )
        }
        services.router.admit(pool, routeRequest(effect), services.time).fold(
            { inputs.send(SessionInput.NotAdmitted(it)) },
            { send(effect, it) },
        )
    }

    private suspend fun tell(input: GenerationInput) {
        inputs.send(SessionInput.ForGeneration(input))
    }

    private fun routeRequest(effect: GenerationEffect.OpenAttempt): RouteRequest = RouteRequest(
        priorityLevel = request.priorityLevel,
        promptTokens = request.body.promptText.length / CHARS_PER_TOKEN + effect.prefix.size,
        blocks = blocks,
        version = request.version,
        excludedTargets = effect.avoid,
    )

    private suspend fun send(effect: GenerationEffect.OpenAttempt, route: Route) {
        val target = route.target.id
        services.listener.attemptOpened(tag, effect.attempt, target, effect.prefix.size)
        tell(GenerationInput.Opened(effect.attempt, target))
        val call =
            EngineCall(
                route.target.address,
                request.body,
                effect.prefix,
                effect.maxTokens,
                request.priorityLevel,
            )
        val relay = AttemptRelay(effect, route)
        try {
            services.engines.generate(call).collect { relay.on(it) }
        } catch (e: CancellationException) {
            route.flight.onFailed(RequestFailure.CANCELLED, services.time.now())
            throw e
        }
    }

    private suspend fun failed(attempt: AttemptNumber, target: TargetId?, cause: FailureCause) {
        services.listener.attemptFailed(tag, attempt, target, cause.name)
        tell(GenerationInput.Failed(attempt, cause))
    }

    /** Converts the engine events of one attempt to inputs and reports them to routing. */
    private inner class AttemptRelay(
        private val effect: GenerationEffect.OpenAttempt,
        private val route: Route,
    ) {
        private val attempt = effect.attempt
        private var delivered = false

        suspend fun on(event: EngineEvent) {
            when (event) {
                is EngineEvent.Opened -> services.targets.answered(route.target.id)
                is EngineEvent.Tokens -> tokens(event)
                is EngineEvent.Finished -> finished(event)
                is EngineEvent.Failed -> broken(event)
            }
        }

        private suspend fun tokens(event: EngineEvent.Tokens) {
            val now = services.time.now()
            if (!delivered) route.flight.onFirstToken(now, event.cachedPromptTokens)
            delivered = true
            route.flight.onTokens(event.tokens.size, now)
            val offset = effect.prefix.size + event.offset
            tell(GenerationInput.Tokens(attempt, offset, event.tokens))
        }

        private suspend fun finished(event: EngineEvent.Finished) {
            route.flight.onDone(services.time.now())
            val reason = FinishReason.ofWireName(event.reason) ?: FinishReason.STOP
            val total = effect.prefix.size + event.totalTokens
            tell(GenerationInput.Finished(attempt, reason, total))
        }

        private suspend fun broken(event: EngineEvent.Failed) {
            val unreachable = event.cause == EngineFailure.UNREACHABLE
            if (unreachable) services.targets.refused(route.target.id)
            val failure = if (unreachable) RequestFailure.NOT_CONNECTED else RequestFailure.BROKEN
            route.flight.onFailed(failure, services.time.now())
            failed(attempt, route.target.id, causeOf(event.cause))
        }

        private fun causeOf(failure: EngineFailure): FailureCause = when (failure) {
            EngineFailure.UNREACHABLE -> FailureCause.NOT_CONNECTED
            EngineFailure.CONNECTION_LOST -> FailureCause.CONNECTION_LOST
            EngineFailure.OVERLOADED -> FailureCause.OVERLOADED
            EngineFailure.REJECTED -> FailureCause.REJECTED
            EngineFailure.ENGINE_FAULT -> FailureCause.CONNECTION_LOST
        }
    }

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
