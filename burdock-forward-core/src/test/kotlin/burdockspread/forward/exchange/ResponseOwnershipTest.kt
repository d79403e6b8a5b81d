package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.directory.TargetEntry
import burdockspread.id.ServiceId
import burdockspread.retry.RetryBudget
import kotlinx.collections.immutable.persistentListOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/** Responses that may be another request's, and what they may say about this one. */
class ResponseOwnershipTest {
    private val start = Fixture.START
    private val one = Fixture.target("one")
    private val two = Fixture.target("two", domain = "south")

    // A repeated refusal of a health check was answered to a caller whose order then ran.
    @Test
    fun `a refusal without id is not the response to a request that has one`() {
        val exchange = started(CallKind.NON_IDEMPOTENT)
        assertEquals(0, respond(exchange, refusal(requestId = null)).size)
        val effects = respond(exchange, head(200))
        assertEquals(ExchangeEffect.Release(1, false), effects[0])
        assertEquals(200, assertIs<ExchangeEffect.Begin>(effects[1]).head.status)
    }

    // An order that may still run was refused as not run when nothing else arrived.
    @Test
    fun `after nothing but a refusal without id the outcome is unknown`() {
        val exchange = started(CallKind.NON_IDEMPOTENT, one)
        respond(exchange, refusal(requestId = null))
        val effects = exchange.onTimer(exchange.call.deadline, ZERO)
        assertEquals(ErrorCode.TARGET_TIMEOUT, refused(effects))
    }

    // An order that may still run was refused as not run when its connection then closed.
    @Test
    fun `a connection that ends after a refusal without id leaves the outcome unknown`() {
        val exchange = started(CallKind.NON_IDEMPOTENT, one)
        respond(exchange, refusal(requestId = null))
        val effects = exchange.onFailure(1, AttemptFailure.BROKEN, start)
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refused(effects))
    }

    // Refusals without id could keep an attempt busy without limit.
    @Test
    fun `refusals without id beyond the limit leave the outcome unknown`() {
        val exchange = started(CallKind.NON_IDEMPOTENT)
        val effects = List(10) { respond(exchange, refusal(requestId = null)) }.flatten()
        assertEquals(ExchangeEffect.Cancel(1), effects[0])
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refused(effects))
    }

    // A request sent to another runner after a 421 without id could run at both.
    @Test
    fun `a misdirected response without id does not lead to another send`() {
        val exchange = started(CallKind.NON_IDEMPOTENT)
        val misdirected = head(421, requestId = null, notExecuted = true, sealed = false)
        assertEquals(0, respond(exchange, misdirected).size)
    }

    // A response without id is a call's own if it has none, since its connection is its own.
    @Test
    fun `a refusal without id is the response to a request that has none`() {
        val exchange = started(CallKind.NON_IDEMPOTENT, one, isIdentified = false)
        respond(exchange, refusal(requestId = null))
        val effects = exchange.onTimer(exchange.call.deadline, ZERO)
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refused(effects))
    }

    // The local id of a request without id was compared with ids that targets state.
    @Test
    fun `a response with an id is not the response to a request that has none`() {
        val exchange = started(CallKind.NON_IDEMPOTENT, one, isIdentified = false)
        assertEquals(0, respond(exchange, refusal(requestId = "call-1")).size)
    }

    // The 400 to a request without id was taken for the response to a later one.
    @Test
    fun `a request without id has a connection of its own`() {
        val exchange = exchange(CallKind.NON_IDEMPOTENT, isIdentified = false)
        assertEquals(ConnectionUse.EXCLUSIVE, sent(exchange.start(start)))
    }

    // A repeated refusal was taken for the response to the next attempt; the request ran twice.
    @Test
    fun `another attempt at the same target has a new connection`() {
        val exchange = exchange(CallKind.NON_IDEMPOTENT, one, two, one)
        val misdirected = head(421, notExecuted = true, sealed = false)
        assertEquals(ConnectionUse.SHARED, sent(exchange.start(start)))
        assertEquals(ConnectionUse.SHARED, sent(respond(exchange, misdirected)))
        assertEquals(ConnectionUse.NEW, sent(respond(exchange, misdirected, attemptNumber = 2)))
    }

    private fun sent(effects: List<ExchangeEffect>): ConnectionUse =
        effects.filterIsInstance<ExchangeEffect.Send>().single().connection

    private fun started(
        kind: CallKind,
        vararg targets: TargetEntry = arrayOf(one, two),
        isIdentified: Boolean = true,
    ): Exchange = exchange(kind, *targets, isIdentified = isIdentified).also { it.start(start) }

    private fun exchange(
        kind: CallKind,
        vararg targets: TargetEntry = arrayOf(one, two),
        isIdentified: Boolean = true,
    ): Exchange {
        val route = Fixture.route(kind, maxAttempts = 3)
        val call = Call(
            localId = 1,
            id = "call-1",
            route = route,
            service = ServiceId("any"),
            organisation = null,
            priority = 1,
            receivedAt = start,
            deadline = start + 20.seconds,
            isIdentified = isIdentified,
        )
        val policy = ScriptedPolicy(targets.toList(), null)
        return Exchange(call, policy, RetryBudget(1.0, 10))
    }

    private fun respond(
        exchange: Exchange,
        head: ResponseHead,
        attemptNumber: Int = 1,
    ): List<ExchangeEffect> = exchange.onResponseHead(attemptNumber, head, start) +
        exchange.onBody(attemptNumber, "text".encodeToByteArray(), start) +
        exchange.onEnd(attemptNumber, true, start)

    private fun refused(effects: List<ExchangeEffect>): ErrorCode =
        effects.filterIsInstance<ExchangeEffect.Refuse>().single().refusal.code

    private fun refusal(requestId: String?): ResponseHead =
        head(503, requestId, notExecuted = true, sealed = false)

    private fun head(
        status: Int,
        requestId: String? = "call-1",
        notExecuted: Boolean = false,
        sealed: Boolean = true,
    ) = ResponseHead(status, requestId, sealed, notExecuted, null, persistentListOf())
}
