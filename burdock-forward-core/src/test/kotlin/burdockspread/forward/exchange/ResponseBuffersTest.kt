package burdockspread.forward.exchange

import burdockspread.buffer.BufferBudget
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.CallKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** What a host keeps of responses that it cannot pass on yet. */
class ResponseBuffersTest {
    private val now = Fixture.START + 10.milliseconds
    private val budget = BufferBudget(capacity = 50_000, freeBytes = 1_000)

    // Guards against a host that keeps a long event of each of its many connections.
    @Test
    fun `an event that does not fit beside those of others ends its attempt only`() {
        val first = streaming()
        val second = streaming()
        assertEquals(0, feed(first, 40_000).size)
        assertIs<ExchangeEffect.Cancel>(feed(second, 40_000).first())
        val event = "\n\n".encodeToByteArray()
        assertIs<ExchangeEffect.Begin>(first.exchange.onBody(1, event, now).first())
        assertEquals(0, budget.drawnBytes)
    }

    @Test
    fun `a request that has ended keeps nothing`() {
        val ended = streaming()
        feed(ended, 40_000)
        ended.exchange.onCallerGone(now)
        assertEquals(0, budget.drawnBytes)
    }

    @Test
    fun `a response that does not fit is passed on as it arrives`() {
        streaming().also { feed(it, 40_000) }
        val call = ExchangeScenario(CallKind.IDEMPOTENT, Fixture.target("a"), buffers = budget)
        call.begin().exchange.onResponseHead(1, ExchangeScenario.head(200), now)
        assertEquals(0, call.exchange.onBody(1, ByteArray(10_000), now).size)
        val effects = call.exchange.onBody(1, ByteArray(10_000), now)
        assertIs<ExchangeEffect.Begin>(effects[0])
        assertEquals(20_000, assertIs<ExchangeEffect.Body>(effects[1]).bytes.size)
    }

    // Guards against a target that keeps a stream busy with bytes that are no event.
    @Test
    fun `comments and repeated events without end are no stream`() {
        listOf(": busy\n\n", "id: 1\ndata: old\n\n").forEach { text ->
            val stream = streaming()
            stream.event(1, 1, now)
            val bytes = text.repeat(10_000).encodeToByteArray()
            val effects = (0..30).flatMap { stream.exchange.onBody(1, bytes, now) }
            assertTrue(effects.any { it is ExchangeEffect.Cancel }, text)
        }
    }

    private fun streaming(): ExchangeScenario {
        val targets = arrayOf(Fixture.target("a"), Fixture.target("b"))
        val stream = ExchangeScenario(CallKind.RESUMABLE_STREAM, *targets, buffers = budget)
        stream.begin().exchange.onResponseHead(1, ExchangeScenario.head(200), now)
        return stream
    }

    private fun feed(stream: ExchangeScenario, size: Int) =
        stream.exchange.onBody(1, "id: 1\ndata: ${"x".repeat(size)}".encodeToByteArray(), now)
}
