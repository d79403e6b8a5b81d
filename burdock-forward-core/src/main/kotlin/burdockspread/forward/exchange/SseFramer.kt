/** Splits a stream of server-sent events at event boundaries. */
package burdockspread.forward.exchange

import java.io.ByteArrayOutputStream

/**
 * Forwards only complete events, so that another attempt can resume the stream at any time.
 *
 * Event ids increase within a stream; events of a resumed attempt that the caller already has are
 * dropped.
 *
 * @property lastId id of the last forwarded event, or the one after which the caller resumes.
 */
public class SseFramer(public var lastId: String? = null) {
    private val buffer = ByteArrayOutputStream()
    private var lineStart = 0
    private var eventId: String? = null

    /** Number of forwarded events. */
    public var events: Int = 0
        private set

    /** Adds bytes of the current attempt and returns the events that they complete, if any. */
    public fun feed(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream(bytes.size)
        for (byte in bytes) {
            buffer.write(byte.toInt())
            if (byte == NEWLINE) endLine(out)
        }
        return out.toByteArray()
    }

    /** Discards the incomplete event, since another attempt follows. */
    public fun restart() {
        buffer.reset()
        lineStart = 0
        eventId = null
    }

    /** Returns the remaining bytes at the end of a complete stream. */
    public fun finishStream(): ByteArray = buffer.toByteArray().also { restart() }

    private fun endLine(out: ByteArrayOutputStream) {
        val text = buffer.toByteArray()
        val line = String(text, lineStart, text.size - lineStart, Charsets.UTF_8).trimEnd()
        lineStart = text.size
        if (line.isNotEmpty()) {
            if (line.startsWith(ID_FIELD)) eventId = line.substring(ID_FIELD.length).trim()
            return
        }
        if (isUnseen(eventId)) {
            out.write(text)
            if (eventId != null) {
                lastId = eventId
                events++
            }
        }
        restart()
    }

    private fun isUnseen(id: String?): Boolean {
        val last = lastId ?: return true
        val number = id?.toLongOrNull() ?: return true
        return number > (last.toLongOrNull() ?: return id != last)
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
