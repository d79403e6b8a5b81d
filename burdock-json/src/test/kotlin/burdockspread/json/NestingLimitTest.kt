package burdockspread.json

import burdockspread.wire.settings.EntrySettings
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.util.JsonFormat
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertSame

class NestingLimitTest {
    private val parser = JsonFormat.parser().ignoringUnknownFields()

    @Test
    fun `text is parsed up to the limit and no deeper`() {
        listOf(::arrays, ::objects).forEach { nested ->
            val deepest = nested(MAX_NESTING)
            assertEquals(Json.parseToJsonElement(deepest), Json.parseBounded(deepest))
            assertFailsWith<SerializationException> { Json.parseBounded(nested(MAX_NESTING + 1)) }
            assertFailsWith<SerializationException> {
                Json.decodeBounded<JsonElement>(nested(MAX_NESTING + 1))
            }
        }
    }

    // Guards against a StackOverflowError out of a parser.
    @Test
    fun `text of any depth ends in an exception of the parser`() {
        val unclosed = listOf("[", "{\"a\":", "{\"a\":[").map { it.repeat(500_000) }
        (unclosed + arrays(500_000) + objects(500_000)).forEach {
            assertFailsWith<SerializationException> { Json.parseBounded(it) }
            assertFailsWith<InvalidProtocolBufferException> { merge(it) }
            assertNotNull(ProtoJson.read(it, EntrySettings.getDefaultInstance()).leftOrNull())
        }
    }

    // The protobuf library's parser also accepts text in single quotes and comments.
    @Test
    fun `nesting that lenient syntax hides ends in an exception of the parser`() {
        listOf("{'\"':${arrays(500_000)},'\"':1}", "/*\"*/{\"a\":${objects(500_000)}}").forEach {
            assertFailsWith<InvalidProtocolBufferException> { merge(it) }
        }
    }

    @Test
    fun `brackets in strings do not count`() {
        val many = "[{".repeat(1_000)
        listOf("\"$many\"", "{\"$many\":\"]$many\"}", "\"\\\"$many\\\\\"", "[\"\\\\\",\"$many\"]")
            .forEach {
                assertEquals(Json.parseToJsonElement(it), Json.parseBounded(it))
                assertSame(it, withoutDeepValues(it, 0))
            }
        assertFailsWith<SerializationException> { Json.parseBounded("[\"\\\\\",${arrays(64)}]") }
    }

    @Test
    fun `only values that are too deep are replaced`() {
        val deep = arrays(MAX_NESTING + 1)
        val full = objects(MAX_NESTING)
        val text = """{"list":[$full,$deep,{"a":[$full]},7,$deep],"more":"[[","x":$deep}"""
        val expected = """{"list":[$full,null,null,7,null],"more":"[[","x":$deep}"""
        assertEquals(expected, withoutDeepValues(text, 2))
        assertEquals("""{"list":null,"more":"[[","x":null}""", withoutDeepValues(text, 1))
        assertEquals("null", withoutDeepValues(text, 0))
        assertSame(full, withoutDeepValues(full, 0))
    }

    @Test
    fun `a value that is too deep and not closed is cut off`() {
        assertEquals("{\"a\":", withoutDeepValues("{\"a\":${"[".repeat(500_000)}", 1))
        assertEquals("{\"a\":[", withoutDeepValues("{\"a\":${"[".repeat(500_000)}]]\"]", 2))
    }

    @Test
    fun `random text parses alike with and without the limit`() {
        val random = Random(20_261_205)
        val brackets = listOf("[", "]", "{", "}")
        val parts = brackets + listOf("\"", "\\", "\"a\":", ",", "1", "null", "\\u005b", "x")
        repeat(20_000) {
            val text = List(random.nextInt(30)) { parts.random(random) }.joinToString("")
            val expected = runCatching { Json.parseToJsonElement(text) }.getOrNull()
            assertEquals(expected, runCatching { Json.parseBounded(text) }.getOrNull(), text)
            assertSame(text, withoutDeepValues(text, random.nextInt(4)))
        }
    }

    // A parser never goes deeper than the bound, whatever the damage.
    @Test
    fun `damaged deep text is parsed or reported`() {
        val random = Random(20_261_206)
        val parts = listOf("]", "}", "\"", "\\", ",", "[[[", "{\"a\":", "]".repeat(500))
        repeat(300) {
            val text = StringBuilder("{\"a\":[${arrays(20_000)},${objects(20_000)}]}")
            repeat(random.nextInt(1, 5)) {
                text.insert(random.nextInt(text.length), parts.random(random))
            }
            runCatching { Json.parseBounded("$text") }.onFailure(::assertParserFailure)
            runCatching { Json.parseToJsonElement(withoutDeepValues("$text", 2)) }
                .onFailure(::assertParserFailure)
        }
    }

    private fun assertParserFailure(failure: Throwable) {
        if (failure !is SerializationException) throw failure
    }

    private fun merge(text: String) = parser.mergeBounded(text, EntrySettings.newBuilder())

    private fun arrays(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

    private fun objects(depth: Int) = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth)
}
