package burdockspread.forward.http

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller that reads slowly while a further request of it has been read. */
class CallerSlowReaderTest {
    private val request = "GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n"

    private fun slowCaller(): CallerFixture {
        val fixture = CallerFixture()
        fixture.send(request.format("one"))
        fixture.channel.isReading = false
        fixture.writers.single().begin(head(), 200_000)
        fixture.writers.single().body(ByteArray(200_000))
        fixture.send(request.format("two"))
        fixture.writers.single().end()
        return fixture
    }

    private fun isAnswered(fixture: CallerFixture) {
        fixture.channel.isReading = true
        assertEquals(2, fixture.received.size, "ends: ${fixture.ends}")
        fixture.writers.last().begin(head(), 2)
        fixture.writers.last().body("ok".encodeToByteArray())
        fixture.writers.last().end()
        assertContains(fixture.written().takeLast(200), "ok")
    }

    // Guards against a request that was read whole and dropped, since its connection seemed idle.
    @Test
    fun `a request read behind a response that is read slowly is answered while the host drains`() {
        val fixture = slowCaller()
        fixture.drains = true
        fixture.sweepAfter(500.milliseconds)
        isAnswered(fixture)
    }

    @Test
    fun `a request read behind a response that is read slowly is not idle`() {
        val fixture = slowCaller()
        fixture.sweepAfter(17.seconds)
        isAnswered(fixture)
    }
}
