package burdockspread.json

import burdockspread.wire.settings.EntrySettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class ProtoJsonTest {
    private fun problems(text: String): List<String> {
        val result = ProtoJson.read(text, EntrySettings.getDefaultInstance())
        return assertNotNull(result.leftOrNull()).map { it.path }
    }

    @Test
    fun `parses durations in seconds`() {
        val text = """{"store": {"address": "127.0.0.1:1", "callTimeout": "0.5s"}}"""
        val settings = ProtoJson.read(text, EntrySettings.getDefaultInstance()).getOrNull()
        assertEquals(500_000_000, settings?.store?.callTimeout?.nanos)
    }

    @Test
    fun `reports all errors with their paths`() {
        val text = """{"store": {"adress": "", "callTimeout": "5 ms"}, "journal": {"copies": ""}}"""
        assertEquals(listOf("store.adress", "store.callTimeout", "journal.copies"), problems(text))
    }

    @Test
    fun `rejects non-objects and malformed JSON`() {
        assertEquals(listOf("host"), problems("""{"host": 3}"""))
        assertEquals(listOf(""), problems("""{"host": """))
    }
}
