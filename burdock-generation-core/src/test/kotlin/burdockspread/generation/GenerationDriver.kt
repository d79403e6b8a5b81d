package burdockspread.generation

import burdockspread.fakes.engine.ChainedEngine
import burdockspread.generation.GenerationEffect.CancelAttempt
import burdockspread.generation.GenerationEffect.OpenAttempt
import burdockspread.id.AttemptNumber
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.recovery.RecoveryMode
import burdockspread.recovery.RecoveryPolicy
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

val MODEL = ModelId("m")

fun policy(mode: RecoveryMode, maxAttempts: Int = 4) = RecoveryPolicy(
    mode = mode,
    stallMultiple = 8.0,
    minStall = 200.milliseconds,
    maxStall = 1.seconds,
    maxAttempts = maxAttempts,
)

/** Drives one generation step by step, with a [ChainedEngine] behind each attempt. */
class GenerationDriver(
    mode: RecoveryMode = RecoveryMode.RESUME_EARLY,
    maxTokens: Int = 20,
    maxAttempts: Int = 4,
    val times: TokenLatencyTracker = TokenLatencyTracker(),
    budget: AttemptBudget = AttemptBudget { true },
) : GenerationListener {
    var now = Instant.fromEpochSeconds(1_000)
    val effects = ArrayList<GenerationEffect>()
    val dropped = HashMap<DropReason, Int>()
    val engines = LinkedHashMap<Int, ChainedEngine>()
    private val spec = GenerationSpec(MODEL, maxTokens, policy(mode, maxAttempts))
    val generation = Generation(spec, budget, times, listener = this)
    val log get() = generation.tokens.slice(0)
    val opened get() = effects.filterIsInstance<OpenAttempt>()
    val cancelled get() = effects.filterIsInstance<CancelAttempt>().map { it.attempt.value }
    val completed get() = effects.filterIsInstance<GenerationEffect.Complete>().singleOrNull()
    val refusal get() = effects.filterIsInstance<GenerationEffect.Fail>().singleOrNull()?.refusal

    fun start(): GenerationDriver = apply { send(GenerationInput.Start) }

    fun send(input: GenerationInput) {
        val newEffects = generation.handle(input, now)
        effects += newEffects
        newEffects.filterIsInstance<OpenAttempt>().forEach {
            val number = it.attempt.value
            engines[number] = ChainedEngine(number, it.prefix)
            effects += generation.handle(
                GenerationInput.Opened(it.attempt, TargetId("t$number")),
                now,
            )
        }
    }

    fun deliver(attempt: Int, count: Int, after: Duration = 10.milliseconds) {
        val engine = engines.getValue(attempt)
        now += after
        val offset = engine.size
        tokens(attempt, offset, engine.next(count))
    }

    fun tokens(attempt: Int, offset: Int, tokens: List<String>) = send(
        GenerationInput.Tokens(AttemptNumber(attempt), offset, tokens.toPersistentList()),
    )

    fun finish(attempt: Int, reason: FinishReason?, total: Int = engines.getValue(attempt).size) =
        send(GenerationInput.Finished(AttemptNumber(attempt), reason, total))

    fun fail(attempt: Int, cause: FailureCause) =
        send(GenerationInput.Failed(AttemptNumber(attempt), cause))

    /** Advances the clock to the next deadline and sends a tick. */
    fun advanceToDeadline() {
        now = generation.nextDeadline()!!
        send(GenerationInput.Tick)
    }

    override fun onTokensDropped(attempt: AttemptNumber, reason: DropReason, tokens: Int) {
        dropped.merge(reason, tokens, Int::plus)
    }
}
