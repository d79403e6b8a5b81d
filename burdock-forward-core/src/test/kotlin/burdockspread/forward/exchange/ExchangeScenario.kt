package burdockspread.forward.exchange

import burdockspread.buffer.BufferBudget
import burdockspread.error.Refusal
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.quarantine.PromptQuarantine
import burdockspread.id.HostId
import burdockspread.id.ServiceId
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.persistentListOf
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One exchange whose placements and target responses a test scripts; queues when [targets] end. */
internal class ExchangeScenario(
    kind: CallKind,
    vararg targets: TargetEntry,
    replicaTarget: TargetEntry? = null,
    maxAttempts: Int = if (kind.isRepeatable) 3 else 1,
    budget: RetryBudget = RetryBudget(1.0, 10),
    listener: ExchangeListener = ExchangeListener.NONE,
    prompt: Prompt? = null,
    quarantine: PromptQuarantine = PromptQuarantine(HostId("h")),
    id: String = ID,
    buffers: BufferBudget = BufferBudget(Int.MAX_VALUE, 0),
) {
    val policy = ScriptedPolicy(targets.toList(), replicaTarget)
    val exchange = Exchange(
        Call(
            localId = 1,
            id = id,
            route = Fixture.route(kind, maxAttempts = maxAttempts),
            service = ServiceId("any"),
            organisation = null,
            priority = 1,
            receivedAt = Fixture.START,
            deadline = Fixture.START + 20.seconds,
            prompt = prompt,
        ),
        policy,
        budget,
        listener,
        quarantine = quarantine,
        buffers = buffers,
    )

    fun begin(): ExchangeScenario = apply { exchange.start(Fixture.START) }

    /** Begins the stream of [attempt] and sends the event with [eventId]. */
    fun event(attempt: Int, eventId: Int, at: Instant): List<ExchangeEffect> {
        exchange.onResponseHead(attempt, head(200), at)
        return exchange.onBody(attempt, "id: $eventId\n\n".encodeToByteArray(), at)
    }

    /** Lets time pass up to [until] without a byte; probes stay unanswered. */
    fun stayQuiet(attempt: Int, until: Instant): List<ExchangeEffect> {
        val effects = ArrayList<ExchangeEffect>()
        while (exchange.wakeAt <= until && !exchange.isEnded) {
            val now = exchange.wakeAt
            effects += exchange.onTimer(now, ZERO)
            assertTrue(exchange.isEnded || exchange.wakeAt > now, "the timer does not advance")
            if (effects.lastOrNull() is ExchangeEffect.Probe) {
                effects += exchange.onProbe(attempt, false, now)
            }
        }
        return effects
    }

    companion object {
        const val ID = "call-1"

        fun head(
            status: Int,
            requestId: String? = ID,
            sealed: Boolean = true,
            headers: List<Header> = emptyList(),
        ) = ResponseHead(
            status,
            requestId,
            sealed,
            false,
            null,
            persistentListOf<Header>().addAll(headers),
        )

        fun text(effects: List<ExchangeEffect>): String =
            effects.filterIsInstance<ExchangeEffect.Body>().joinToString("") { String(it.bytes) }

        fun refusal(effects: List<ExchangeEffect>): Refusal =
            effects.filterIsInstance<ExchangeEffect.Refuse>().single().refusal
    }
}
