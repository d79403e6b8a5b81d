package burdockspread.forward.exchange

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import burdockspread.forward.exchange.ExchangeScenario.Companion.head
import burdockspread.forward.exchange.ExchangeScenario.Companion.refusal
import burdockspread.forward.load.AttemptOutcome
import burdockspread.forward.load.TargetNotice
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Statuses with which a caller is promised that its request has not run and never will. */
class NotRunPromiseTest {
    private val start = Fixture.START
    private val targets = Array(3) { Fixture.target("t$it") }
    private val promises = setOf(408, 421, 429, 503)

    // Guards against a booking that ran, is answered 503 by its target and then sent again.
    @Test
    fun `a call that may have run is never answered with a promise that it has not`() {
        val unrepeatable = CallKind.entries.filterNot { it.isRepeatable }
        responses { kind, head, size, events ->
            if (kind !in unrepeatable || head.notExecuted) return@responses
            val sent = events.filterIsInstance<ExchangeEffect.Begin>().map { it.head.status }
            val refused = events.filterIsInstance<ExchangeEffect.Refuse>()
                .map { it.refusal.code.httpStatus }
            val case = "$kind, $size bytes, $head"
            assertTrue((sent + refused).none { it in promises }, case)
            assertTrue(events.none { it is ExchangeEffect.Send }, "sent again: $case")
        }
    }

    // Guards against a refusal that promises more than the attempts before it allow.
    @Test
    fun `no refusal claims that a request has not run which may have`() {
        responses { kind, head, size, events ->
            val refusals = events.filterIsInstance<ExchangeEffect.Refuse>().map { it.refusal }
            val claims = refusals.any { it.executionOutcome == ExecutionOutcome.NOT_RUN }
            assertTrue(!claims || head.notExecuted, "$kind, $size bytes, $head: $refusals")
        }
    }

    // Guards against an answer that the target says not to have run being forwarded for its size.
    @Test
    fun `a response of a target that did not run the request is never forwarded`() {
        responses { kind, head, size, events ->
            if (!head.notExecuted) return@responses
            val case = "$kind, $size bytes, $head"
            assertTrue(events.none { it is ExchangeEffect.Begin }, case)
            assertIs<ExchangeEffect.Send>(events.last(), case)
        }
    }

    @Test
    fun `the caller of a booking learns the status and that the outcome is unknown`() {
        val scenario = ExchangeScenario(CallKind.NON_IDEMPOTENT, targets[0]).begin()
        val refusal = refusal(scenario.respond(1, head(503), ByteArray(9)))
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, refusal.code)
        assertNull(refusal.retryAfter)
        assertTrue("status 503" in refusal.detail, refusal.detail)
    }

    // Guards against a target that only looks busy, since its failures count as responses.
    @Test
    fun `a promise without the target's statement counts as a failure of the target`() {
        for (kind in CallKind.entries) {
            for (status in promises) {
                val scenario = ExchangeScenario(kind, targets[0]).begin()
                scenario.respond(1, head(status), ByteArray(9))
                val outcomes = scenario.policy.outcomes
                assertEquals(listOf(AttemptOutcome.FAILED), outcomes, "$kind, $status")
            }
        }
    }

    // Guards against callers of repeatable calls that get a failure although other targets work.
    @Test
    fun `a repeatable call is retried elsewhere, and its last error is forwarded unchanged`() {
        for (status in promises) {
            val scenario = ExchangeScenario(CallKind.IDEMPOTENT, *targets, maxAttempts = 2).begin()
            val first = scenario.respond(1, head(status), ByteArray(9))
            assertEquals(targets[1], assertIs<ExchangeEffect.Send>(first.last()).target)
            val last = scenario.respond(2, head(status), ByteArray(9))
            val begin = last.filterIsInstance<ExchangeEffect.Begin>().single()
            assertEquals(head(status), begin.head)
        }
    }

    // Guards against a late end of another kind, after an answer that is held back for a retry.
    @Test
    fun `whatever ends a booking after its target's answer began promises nothing`() {
        val ends = listOf<Exchange.() -> List<ExchangeEffect>>(
            { onFailure(1, AttemptFailure.BROKEN, start) },
            { onFailure(1, AttemptFailure.MALFORMED, start) },
            { onTimer(call.deadline, ZERO) },
            { onStop(start) },
        )
        for (status in promises) {
            for (end in ends) {
                val scenario = ExchangeScenario(CallKind.NON_IDEMPOTENT, targets[0]).begin()
                scenario.exchange.onResponseHead(1, head(status), start)
                val refusal = refusal(scenario.exchange.end())
                assertTrue(refusal.code.httpStatus !in promises, "$status: $refusal")
            }
        }
    }

    // Guards against a target that asks for a pause and gets requests, since its answer is dropped.
    @Test
    fun `the pause that a target asks for is heeded though its answer is not forwarded`() {
        val notice = TargetNotice(retryAfter = 2.seconds)
        val scenario = ExchangeScenario(CallKind.NON_IDEMPOTENT, targets[0]).begin()
        scenario.respond(1, head(503).copy(notice = notice), ByteArray(9))
        assertEquals(listOf(targets[0] to notice), scenario.policy.notices)
    }

    /** Checks what follows each response that a target can give to the first of two attempts. */
    private fun responses(check: (CallKind, ResponseHead, Int, List<ExchangeEffect>) -> Unit) {
        val marks = listOf(true, false)
        val heads = (200..599).flatMap { status ->
            marks.flatMap { isSealed ->
                marks.map { head(status, sealed = isSealed).copy(notExecuted = it) }
            }
        }
        for (kind in CallKind.entries) {
            for (head in heads) {
                listOf(0, 9, 300_000).forEach { size ->
                    val scenario = ExchangeScenario(kind, *targets, maxAttempts = 2).begin()
                    check(kind, head, size, scenario.respond(1, head, ByteArray(size)))
                }
            }
        }
    }

    private fun ExchangeScenario.respond(
        attempt: Int,
        head: ResponseHead,
        body: ByteArray,
    ): List<ExchangeEffect> {
        val now = start + 10.milliseconds
        return exchange.onResponseHead(attempt, head, now) +
            (if (body.isEmpty()) emptyList() else exchange.onBody(attempt, body, now)) +
            exchange.onEnd(attempt, true, now)
    }
}
