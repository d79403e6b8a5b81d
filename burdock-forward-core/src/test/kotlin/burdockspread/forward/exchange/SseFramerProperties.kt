package burdockspread.forward.exchange

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import java.io.ByteArrayOutputStream
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals

/** Any bytes of a target in any chunks; `-Djqwik.tries.default=N` runs more cases. */
class SseFramerProperties {
    @Property(seed = "20261204")
    fun `chunks do not change what is forwarded`(
        @ForAll("streams") stream: String,
        @ForAll @IntRange(min = 1, max = 9) size: Int,
    ) {
        val bytes = stream.encodeToByteArray()
        val whole = SseFramer()
        val expected = whole.feed(bytes)
        val framer = SseFramer()
        val out = ByteArrayOutputStream()
        var start = 0
        while (start < bytes.size) {
            val end = minOf(start + size, bytes.size)
            out.write(framer.feed(bytes.copyOfRange(start, end)))
            start = end
        }
        assertContentEquals(expected, out.toByteArray())
        assertEquals(whole.events, framer.events)
        assertEquals(whole.lastId, framer.lastId)
        assertContentEquals(whole.finishStream(), framer.finishStream())
    }

    @Property(seed = "20261204")
    fun `without ids nothing is lost or repeated`(@ForAll("idless") stream: String) {
        val framer = SseFramer()
        val out = framer.feed(stream.encodeToByteArray()) + framer.finishStream()
        assertEquals(stream, String(out))
    }

    @Property(seed = "20261204")
    fun `only events after the last one are forwarded`(
        @ForAll @Size(max = 30) ids: List<
            @IntRange(min = 0, max = 40)
            Int,
            >,
    ) {
        val framer = SseFramer("3")
        val out = framer.feed(ids.joinToString("") { event(it) }.encodeToByteArray())
        var last = 3
        val expected = ids.filter { id -> (id > last).also { if (it) last = id } }
        assertEquals(expected.joinToString("") { event(it) }, String(out))
    }

    private fun event(id: Int) = "id: $id\ndata: x\n\n"

    @Provide
    fun streams(): Arbitrary<String> {
        val ids = arrayOf("id: 1\n", "id: 2\r\n", "id:7\n", "id: x\n")
        return parts(*ids, "data: a\n", ": c\n", "\n", "\r\n", "i", "\u00e9")
    }

    @Provide
    fun idless(): Arbitrary<String> = parts("data: a\n", ": c\n", "\n", "\r\n", "\r", "x", "\u00e9")

    private fun parts(vararg parts: String): Arbitrary<String> =
        Arbitraries.of(*parts).list().ofMaxSize(40).map { it.joinToString("") }
}
