package burdockspread.forward.exchange

import org.junit.jupiter.api.Timeout
import kotlin.test.Test
import kotlin.test.assertEquals

class SseFramerTest {
    @Test
    fun `only whole events are passed on`() {
        val framer = SseFramer()
        assertEquals("", framer.text("id: 1\nda"))
        assertEquals("id: 1\ndata: x\n\n", framer.text("ta: x\n\nid: 2\n"))
        assertEquals("1", framer.lastId)
    }

    @Test
    fun `a new attempt resumes after the last complete event`() {
        val framer = SseFramer()
        framer.text("id: 1\ndata: x\n\nid: 2\ndat")
        framer.restart()
        assertEquals("id: 2\ndata: y\n\n", framer.text("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
        assertEquals("2", framer.lastId)
    }

    @Test
    fun `events that the caller has are left out`() {
        val framer = SseFramer("9")
        assertEquals("id: 10\n\n", framer.text("id: 9\n\nid: 10\n\n"))
    }

    @Test
    fun `chunk boundaries do not change the events`() {
        val stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: comment\n\nid: 3\n\n"
        for (size in 1..stream.length) {
            val framer = SseFramer()
            val out = stream.chunked(size).joinToString("") { framer.text(it) }
            assertEquals(stream, out + String(framer.finishStream()))
        }
    }

    @Test
    fun `chunk boundaries do not change the ids and the number of events`() {
        val stream = "id: 1\ndata: a\n\n: comment\n\ndata: b\n\nid: 2\ndata: c\n\nid: 2\n\n"
        for (size in 1..stream.length) {
            val framer = SseFramer()
            stream.chunked(size).forEach { framer.text(it) }
            assertEquals("2", framer.lastId)
            assertEquals(3, framer.events, "chunks of $size")
        }
    }

    /** With work that grows with the square of the event's size this takes hours. */
    @Test
    @Timeout(60)
    fun `the cost of an event grows with its size`() {
        val framer = SseFramer()
        val lines = "d\n".repeat(1_024).encodeToByteArray()
        repeat(4_096) { framer.feed(lines) }
        framer.feed(byteArrayOf('\n'.code.toByte()))
        assertEquals(1, framer.events)
    }

    private fun SseFramer.text(bytes: String) = String(feed(bytes.encodeToByteArray()))
}
