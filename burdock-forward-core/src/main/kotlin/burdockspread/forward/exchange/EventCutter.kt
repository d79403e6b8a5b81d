/** Cuts a stream of server-sent events at event boundaries. */
package burdockspread.forward.exchange

import java.io.ByteArrayOutputStream

/**
 * Passes whole events on, so that a stream can go on with another run at any time.
 *
 * Events of a resumed run that the caller has already are left out: ids rise within a stream.
 *
 * @property lastId id of the last event passed on, or the one from which the caller resumes.
 */
public class EventCutter(public var lastId: String? = null) {
    private val pending = ByteArrayOutputStream()
    private var lineStart = 0
    private var eventId: String? = null

    /** Number of events passed on. */
    public var events: Int = 0
        private set

    /** Takes bytes of the current run and returns the events that they complete, may be empty. */
    public fun feed(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream(bytes.size)
        for (byte in bytes) {
            pending.write(byte.toInt())
            if (byte == NEWLINE) endLine(out)
        }
        return out.toByteArray()
    }

    /** Drops the part of an event that came last; a new run follows. */
    public fun restart() {
        pending.reset()
        lineStart = 0
        eventId = null
    }

    /** Returns what is left at the end of a whole stream. */
    public fun finish(): ByteArray = pending.toByteArray().also { restart() }

    private fun endLine(out: ByteArrayOutputStream) {
        val text = pending.toByteArray()
        val line = String(text, lineStart, text.size - lineStart, Charsets.UTF_8).trimEnd()
        lineStart = text.size
        if (line.isNotEmpty()) {
            if (line.startsWith(ID_FIELD)) eventId = line.substring(ID_FIELD.length).trim()
            return
        }
        if (isNew(eventId)) {
            out.write(text)
            if (eventId != null) {
                lastId = eventId
                events++
            }
        }
        restart()
    }

    private fun isNew(id: String?): Boolean {
        val last = lastId ?: return true
        val number = id?.toLongOrNull() ?: return true
        return number > (last.toLongOrNull() ?: return id != last)
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
