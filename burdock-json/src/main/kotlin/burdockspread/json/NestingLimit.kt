/**
 * Bound on how deeply JSON text may nest.
 *
 * Parsers of JSON call themselves for every array and object within another, so that deeply nested
 * text of another program ends in a [StackOverflowError]. The functions here count brackets in a
 * single pass, without recursion, before a parser reads the text.
 */
package burdockspread.json

import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Levels of arrays and objects that text from outside may have. */
public const val MAX_NESTING: Int = 64

/**
 * Parses [text], or throws a [SerializationException] if it is malformed or nests deeper than
 * [MAX_NESTING] levels.
 */
public fun Json.parseBounded(text: String): JsonElement = parseToJsonElement(bounded(text))

/**
 * Decodes [text], or throws a [SerializationException] if it is malformed or nests deeper than
 * [MAX_NESTING] levels.
 */
public inline fun <reified T> Json.decodeBounded(text: String): T =
    decodeFromString<T>(bounded(text))

/**
 * Parses [text] into [builder], or throws an [InvalidProtocolBufferException] if it is malformed or
 * nests deeper than [MAX_NESTING] levels.
 */
public fun JsonFormat.Parser.mergeBounded(text: String, builder: Message.Builder) {
    if (nestsTooDeeply(text)) throw InvalidProtocolBufferException(TOO_DEEP)
    merge(text, builder)
}

/** Returns [text], or throws a [SerializationException] if it nests too deeply. */
@PublishedApi
internal fun bounded(text: String): String {
    if (nestsTooDeeply(text)) throw SerializationException(TOO_DEEP)
    return text
}

/**
 * Returns [text] with `null` in place of each array or object that lies within [level] others and
 * nests deeper than [MAX_NESTING] levels itself, so that one value does not cost its neighbours.
 * Returns the same object if there is no such value.
 */
public fun withoutDeepValues(text: String, level: Int): String {
    val scan = NestingScan(text)
    val kept = StringBuilder()
    var copied = 0
    var start = 0
    var deepest = 0
    while (scan.advance()) {
        if (scan.opens) {
            if (scan.depth == level + 1) start = scan.index
            deepest = maxOf(deepest, scan.depth - level)
        } else if (scan.depth == level) {
            if (deepest > MAX_NESTING) {
                kept.append(text, copied, start).append("null")
                copied = scan.index + 1
            }
            deepest = 0
        }
    }
    return when {
        // The text ends within the value, so it is malformed with or without the rest.
        deepest > MAX_NESTING -> kept.append(text, copied, start).toString()
        copied == 0 -> text
        else -> kept.append(text, copied, text.length).toString()
    }
}

private fun nestsTooDeeply(text: String): Boolean {
    val scan = NestingScan(text)
    while (scan.advance()) if (scan.depth > MAX_NESTING) return true
    return false
}

private const val TOO_DEEP = "the JSON text nests deeper than $MAX_NESTING levels"

/** Visits the brackets of [text] outside strings. */
private class NestingScan(private val text: String) {
    private var isInString = false

    /** Position of the current bracket. */
    var index = -1
        private set

    /** Arrays and objects that are open after the current bracket. */
    var depth = 0
        private set

    /** Whether the current bracket opens an array or object. */
    var opens = false
        private set

    /** Moves to the next bracket; returns false at the end of the text. */
    fun advance(): Boolean {
        while (++index < text.length) {
            when (text[index]) {
                '"' -> isInString = !isInString
                '\\' -> if (isInString) index++
                '[', '{' -> if (!isInString) return onBracket(1)
                ']', '}' -> if (!isInString) return onBracket(-1)
            }
        }
        return false
    }

    private fun onBracket(change: Int): Boolean {
        opens = change > 0
        depth += change
        return true
    }
}
