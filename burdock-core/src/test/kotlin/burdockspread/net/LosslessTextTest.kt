package burdockspread.net

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.URLDecoder
import java.util.HexFormat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LosslessTextTest {
    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "61", "ff", "c3a9", "c3", "a9", "eda080", "f09f", "f09f9880ff", "c0af", "80ff61",
        ],
    )
    fun `a URI leads back to the bytes that were decoded`(hex: String): Unit =
        leadsBack(HexFormat.of().parseHex(hex))

    @Test
    fun `a URI leads back to any bytes`() {
        val random = Random(20261207)
        repeat(2_000) { leadsBack(random.nextBytes(random.nextInt(12))) }
    }

    @Test
    fun `well-formed text stays as it is`() {
        val text = "a\u0161\u20ac\ud83d\ude00\u0000"
        assertEquals(text, decodeLossless(text.encodeToByteArray()))
        assertTrue(text.isWellFormed())
        assertEquals(-1, text.indexOfUnsendable())
    }

    @Test
    fun `each byte that is no UTF-8 is a surrogate without its pair`() {
        val text = decodeLossless(byteArrayOf('a'.code.toByte(), -1, -128))
        assertEquals("a\udcff\udc80", text)
        assertFalse(text.isWellFormed())
        assertEquals(-1, text.indexOfUnsendable())
    }

    @Test
    fun `text that its writer did not give is not well-formed`() {
        listOf("a\ud800", "\udc00", "a\ufffdb").forEach { assertFalse(it.isWellFormed()) }
        assertEquals(2, "\udc80\udc80\udc00".indexOfUnsendable())
    }

    private fun leadsBack(bytes: ByteArray) {
        val encoded = encodeQueryComponent(decodeLossless(bytes))
        val decoded = URLDecoder.decode(encoded, Charsets.ISO_8859_1)
        assertContentEquals(bytes, decoded.toByteArray(Charsets.ISO_8859_1))
    }
}
