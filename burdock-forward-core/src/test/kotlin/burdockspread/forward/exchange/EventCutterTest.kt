package burdockspread.forward.exchange

import kotlin.test.Test
import kotlin.test.assertEquals

class EventCutterTest {
    @Test
    fun `only whole events are passed on`() {
        val cutter = EventCutter()
        assertEquals("", cutter.text("id: 1\nda"))
        assertEquals("id: 1\ndata: x\n\n", cutter.text("ta: x\n\nid: 2\n"))
        assertEquals("1", cutter.lastId)
    }

    @Test
    fun `a new run goes on after the last whole event`() {
        val cutter = EventCutter()
        cutter.text("id: 1\ndata: x\n\nid: 2\ndat")
        cutter.restart()
        assertEquals("id: 2\ndata: y\n\n", cutter.text("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
        assertEquals("2", cutter.lastId)
    }

    @Test
    fun `events that the caller has are left out`() {
        val cutter = EventCutter("9")
        assertEquals("id: 10\n\n", cutter.text("id: 9\n\nid: 10\n\n"))
    }

    @Test
    fun `every way of cutting the bytes gives the same events`() {
        val stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: comment\n\nid: 3\n\n"
        for (size in 1..stream.length) {
            val cutter = EventCutter()
            val out = stream.chunked(size).joinToString("") { cutter.text(it) }
            assertEquals(stream, out + String(cutter.finish()))
        }
    }

    private fun EventCutter.text(bytes: String) = String(feed(bytes.encodeToByteArray()))
}
