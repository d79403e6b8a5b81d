/** Splits a stream of server-sent events at event boundaries. */
package burdockspread.forward.exchange

import java.io.ByteArrayOutputStream

/**
 * Forwards only complete events, so that another attempt can resume the stream at any time.
 *
 * Event ids increase within a stream; events of a resumed attempt that the caller already has are
 * dropped. Each byte is examined once, so that a target cannot stall the event loop with an event
 * of many lines.
 *
 * @property lastId id of the last forwarded event, or the one after which the caller resumes.
 */
public class SseFramer(public var lastId: String? = null) {
    private var buffer = ByteArray(INITIAL_BYTES)

    /** Number of buffered bytes, which start with the incomplete event. */
    private var size = 0
    private var lineStart = 0
    private var eventId: String? = null
    private var hasField = false

    /** Number of forwarded events; comments do not count. */
    public var events: Int = 0
        private set

    /** Size of comments and events that the caller already has, since the last event. */
    public var bytesWithoutEvent: Int = 0
        private set

    /** Size of the incomplete event in bytes. */
    public val pendingBytes: Int get() = size

    /** Whether a part of an event is buffered; comments do not count. */
    public val isWithinEvent: Boolean
        get() = hasField || (size > lineStart && !isComment(buffer[lineStart]))

    /** Adds bytes of the current attempt and returns the events that they complete, if any. */
    public fun feed(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream()
        val scanFrom = size
        append(bytes)
        var eventStart = 0
        for (i in scanFrom until size) {
            if (buffer[i] != NEWLINE) continue
            if (isBlank(lineStart, i)) {
                endEvent(eventStart, i + 1, out)
                eventStart = i + 1
            } else {
                readField(String(buffer, lineStart, i - lineStart, Charsets.UTF_8))
            }
            lineStart = i + 1
        }
        discard(eventStart)
        return out.toByteArray()
    }

    /** Discards the incomplete event, since another attempt follows. */
    public fun restart() {
        size = 0
        lineStart = 0
        bytesWithoutEvent = 0
        shrink()
        startEvent()
    }

    /** Returns the remaining bytes at the end of a complete stream, without a known event. */
    public fun finishStream(): ByteArray {
        readField(String(buffer, lineStart, size - lineStart, Charsets.UTF_8))
        val remainder = buffer.copyOf(if (isUnseen(eventId)) size else 0)
        restart()
        return remainder
    }

    private fun append(bytes: ByteArray) {
        if (size + bytes.size > buffer.size) {
            buffer = buffer.copyOf(maxOf(2 * buffer.size, size + bytes.size))
        }
        bytes.copyInto(buffer, size)
        size += bytes.size
    }

    private fun discard(count: Int) {
        if (count == 0) return
        buffer.copyInto(buffer, 0, count, size)
        size -= count
        lineStart -= count
        shrink()
    }

    /** Frees the memory of a long event that has been forwarded. */
    private fun shrink() {
        if (size <= INITIAL_BYTES && buffer.size > RETAINED_BYTES) {
            buffer = buffer.copyOf(INITIAL_BYTES)
        }
    }

    private fun isBlank(start: Int, end: Int): Boolean =
        end == start || (end == start + 1 && buffer[start] == CARRIAGE_RETURN)

    private fun isComment(first: Byte) = first == COMMENT.code.toByte() || first == CARRIAGE_RETURN

    private fun readField(line: String) {
        if (line.startsWith(ID_FIELD)) eventId = line.substring(ID_FIELD.length).trim()
        if (!line.startsWith(COMMENT)) hasField = true
    }

    private fun endEvent(start: Int, end: Int, out: ByteArrayOutputStream) {
        val isForwarded = isUnseen(eventId)
        if (isForwarded) {
            out.write(buffer, start, end - start)
            eventId?.let { lastId = it }
        }
        if (isForwarded && hasField) {
            events++
            bytesWithoutEvent = 0
        } else {
            bytesWithoutEvent += end - start
        }
        startEvent()
    }

    private fun startEvent() {
        eventId = null
        hasField = false
    }

    private fun isUnseen(id: String?): Boolean {
        val last = lastId ?: return true
        val number = id?.toLongOrNull() ?: return true
        return number > (last.toLongOrNull() ?: return id != last)
    }

    private companion object {
        const val INITIAL_BYTES = 512

        /** Size up to which the buffer stays for the next event. */
        const val RETAINED_BYTES = 8_192
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ':'
    }
}
