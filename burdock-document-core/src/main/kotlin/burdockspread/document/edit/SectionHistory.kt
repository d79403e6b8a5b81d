/** Bounded history of a section, stored as deltas with its content. */
package burdockspread.document.edit

import burdockspread.document.SectionDeltas
import burdockspread.store.ObjectStore
import burdockspread.wire.document.Revision
import burdockspread.wire.document.Section
import burdockspread.wire.document.SectionContent

/** Extends and reads the history of sections. */
public object SectionHistory {
    /** Maximum number of revisions in the history, without the current one. */
    public const val MAX_REVISIONS: Int = 20

    /** Maximum JSON bytes of the history, which leaves most of the stored value to the section. */
    public const val MAX_BYTES: Int = ObjectStore.MAX_VALUE_BYTES / 8

    /** Returns the content with [next] as the current section and [previous] in its history. */
    internal fun extend(
        previous: SectionContent?,
        next: Section,
        revision: Revision,
    ): SectionContent {
        val content = SectionContent.newBuilder().setSection(next).setCurrent(revision)
        if (previous == null) return content.build()
        val undo = SectionDeltas.between(next, previous.section)
        val latest = previous.current.toBuilder().setUndo(undo).build()
        return content.addAllHistory(bounded(listOf(latest) + previous.historyList)).build()
    }

    /** Returns the section at [version], or null if the history does not reach back to it. */
    public fun at(content: SectionContent, version: Long): Section? {
        var section = content.section
        val older = content.historyList.iterator()
        while (section.version > version && older.hasNext()) {
            section = SectionDeltas.apply(section, older.next().undo) ?: return null
        }
        return section.takeIf { it.version == version }
    }

    private fun bounded(revisions: List<Revision>): List<Revision> {
        var bytes = 0
        return revisions.take(MAX_REVISIONS).takeWhile {
            bytes += it.serializedSize * JSON_BYTES_PER_WIRE_BYTE
            bytes <= MAX_BYTES
        }
    }

    private const val JSON_BYTES_PER_WIRE_BYTE = 3
}
