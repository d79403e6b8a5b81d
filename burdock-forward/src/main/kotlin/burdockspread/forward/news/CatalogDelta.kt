/**
 * Differences between two texts of a configuration.
 *
 * Configurations are JSON whose objects are mostly the same from version to version, at other
 * positions. A text is cut after each closing brace, and every part that the earlier text has too
 * is copied from there.
 */
package burdockspread.forward.news

import burdockspread.wire.forward.CatalogDelta
import burdockspread.wire.forward.CatalogPart

/** Returns what leads from [earlier] to [text]. */
internal fun catalogDelta(earlier: String, text: String): CatalogDelta {
    val known = HashMap<String, Int>()
    forEachPart(earlier) { start, part -> known.putIfAbsent(part, start) }
    val delta = CatalogDelta.newBuilder()
    var part = CatalogPart.newBuilder()
    val added = StringBuilder()
    forEachPart(text) { _, next ->
        val copied = part.copiedFrom + part.copiedLength
        val position = known[next]
        when {
            added.isEmpty() && earlier.startsWith(next, copied) -> part.copiedLength += next.length
            position == null || next.length < MIN_COPIED -> added.append(next)
            else -> {
                delta.addParts(part.setAdded(added.toString()))
                added.clear()
                part = CatalogPart.newBuilder().setCopiedFrom(position)
                    .setCopiedLength(next.length)
            }
        }
    }
    return delta.addParts(part.setAdded(added.toString())).build()
}

/**
 * Returns the text to which this delta leads from [earlier].
 *
 * @throws IllegalArgumentException if it copies what [earlier] does not have, or if the text
 * exceeds [maxLength].
 */
internal fun CatalogDelta.applyTo(earlier: String, maxLength: Int): String = buildString {
    partsList.forEach { part ->
        val end = part.copiedFrom.toLong() + part.copiedLength
        val isWithin = part.copiedFrom >= 0 && part.copiedLength >= 0 && end <= earlier.length
        require(isWithin) { "a part ends at $end of ${earlier.length}" }
        require(length + part.copiedLength + part.added.length <= maxLength) { "a text too long" }
        append(earlier, part.copiedFrom, end.toInt()).append(part.added)
    }
}

private inline fun forEachPart(text: String, action: (start: Int, part: String) -> Unit) {
    var start = 0
    while (start < text.length) {
        val brace = text.indexOf('}', start)
        val end = if (brace < 0) text.length else brace + 1
        action(start, text.substring(start, end))
        start = end
    }
}

/** Shorter parts are no longer than the reference to them. */
private const val MIN_COPIED = 16
