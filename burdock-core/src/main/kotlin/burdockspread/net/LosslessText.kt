/**
 * Text of other writers, some bytes of which may be no UTF-8.
 *
 * A name that is written back to where it was read has to lead to the same bytes, while the usual
 * decoding makes one name of many: it replaces each byte that is no UTF-8 by U+FFFD.
 */
package burdockspread.net

import java.nio.ByteBuffer
import java.nio.CharBuffer

/**
 * Decodes [bytes] as UTF-8. Each byte that is not part of a character becomes a surrogate without
 * its pair, U+DC80 for 80 to U+DCFF for FF, which [encodeQueryComponent] turns back into the byte.
 */
public fun decodeLossless(bytes: ByteArray): String {
    val decoder = Charsets.UTF_8.newDecoder()
    val input = ByteBuffer.wrap(bytes)
    val text = CharBuffer.allocate(bytes.size)
    while (true) {
        val result = decoder.decode(input, text, true)
        if (!result.isError) return text.flip().toString()
        repeat(result.length()) {
            val byte = input.get().toInt() and LOW_BITS
            text.put(Char(RAW_BYTES.first + byte))
        }
    }
}

/**
 * Whether this text is what its writer gave, so that it can be written back: it has no surrogate
 * without its pair, nor the character that takes the place of bytes that are no UTF-8.
 */
public fun String.isWellFormed(): Boolean =
    REPLACEMENT !in this && indexOfCodePoint { it in SURROGATES } < 0

/**
 * Returns the index of the first character that UTF-8 cannot express, bytes that are no UTF-8 being
 * expressed as themselves; -1 if there is none.
 */
public fun String.indexOfUnsendable(): Int =
    indexOfCodePoint { it in SURROGATES && it !in RAW_BYTES }

/** Surrogates that are no part of a pair are code points of their own. */
private inline fun String.indexOfCodePoint(predicate: (Int) -> Boolean): Int {
    var index = 0
    while (index < length) {
        val character = codePointAt(index)
        if (predicate(character)) return index
        index += Character.charCount(character)
    }
    return -1
}

/** Code points that stand for the bytes 80 to FF. */
internal val RAW_BYTES: IntRange = 0xDC80..0xDCFF
private val SURROGATES = Character.MIN_SURROGATE.code..Character.MAX_SURROGATE.code
private const val REPLACEMENT = '\uFFFD'

/** A byte that is no UTF-8 has the highest bit set. */
private const val LOW_BITS = 0x7F
