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
                { reportFailure(effect.attempt, null, FailureCause.NO_TARGET) },
                { send(effect, it) },
            )
        }
        services.router.admit(pool, routeRequest(effect), services.time).fold(
            { inputs.send(SessionInput.NotAdmitted(it)) },
            { send(effect, it) },
        )
    }

    private suspend fun enqueue(input: GenerationInput) {
        inputs.send(SessionInput.ForGeneration(input))
    }

    private fun routeRequest(effect: GenerationEffect.OpenAttempt): RouteRequest = RouteRequest(
        priorityLevel = request.priorityLevel,
        promptTokens = request.body.promptText.length / CHARS_PER_TOKEN + effect.prefix.size,
        blocks = blocks,
        version = request.version,
        excludedTargets = effect.excludedTargets,
    )

    private suspend fun send(effect: GenerationEffect.OpenAttempt, route: Route) {
        val target = route.target.id
        services.listener.onAttemptOpened(tag, effect.attempt, target, effect.prefix.size)
        enqueue(GenerationInput.Opened(effect.attempt, target))
        val call =
            EngineCall(
                route.target.address,
                request.body,
                effect.prefix,
                effect.maxTokens,
                request.priorityLevel,
            )
        val handler = AttemptEventHandler(effect, route)
        try {
            services.engines.generate(call).collect { handler.onEvent(it) }
        } catch (e: CancellationException) {
            route.inFlightRequest.onFailed(RequestFailure.CANCELLED, services.time.now())
            throw e
        }
    }

    private suspend fun reportFailure(
        attempt: AttemptNumber,
        target: TargetId?,
        cause: FailureCause,
    ) {
        services.listener.onAttemptFailed(tag, attempt, target, cause.name)
        enqueue(GenerationInput.Failed(attempt, cause))
    }

    /** Converts the engine events of one attempt to inputs and reports them to routing. */
    private inner class AttemptEventHandler(
        private val effect: GenerationEffect.OpenAttempt,
        private val route: Route,
    ) {
        private val attempt = effect.attempt
        private var hasFirstToken = false

        suspend fun onEvent(event: EngineEvent) {
            when (event) {
                is EngineEvent.Opened -> services.targets.onResponse(route.target.id)
                is EngineEvent.Tokens -> tokens(event)
                is EngineEvent.Finished -> handleFinish(event)
                is EngineEvent.Failed -> handleFailure(event)
            }
        }

        private suspend fun tokens(event: EngineEvent.Tokens) {
            val now = services.time.now()
            if (!hasFirstToken) route.inFlightRequest.onFirstToken(now, event.cachedPromptTokens)
            hasFirstToken = true
            route.inFlightRequest.onTokens(event.tokens.size, now)
            val offset = effect.prefix.size + event.offset
            enqueue(GenerationInput.Tokens(attempt, offset, event.tokens))
        }

        private suspend fun handleFinish(event: EngineEvent.Finished) {
            route.inFlightRequest.onDone(services.time.now())
            val reason = FinishReason.ofWireName(event.reason) ?: FinishReason.STOP
            val total = effect.prefix.size + event.totalTokens
            enqueue(GenerationInput.Finished(attempt, reason, total))
        }

        private suspend fun handleFailure(event: EngineEvent.Failed) {
            val unreachable = event.cause == EngineFailure.UNREACHABLE
            if (unreachable) services.targets.onConnectionRefused(route.target.id)
            val failure = if (unreachable) RequestFailure.NOT_CONNECTED else RequestFailure.BROKEN
            route.inFlightRequest.onFailed(failure, services.time.now())
            reportFailure(attempt, route.target.id, causeOf(event.cause))
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
