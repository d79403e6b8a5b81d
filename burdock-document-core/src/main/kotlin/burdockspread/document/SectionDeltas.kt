/** Deltas between versions of a section, by named element. */
package burdockspread.document

import burdockspread.wire.document.Section
import burdockspread.wire.document.SectionDelta
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Message
import java.util.zip.CRC32C

/** Creates and applies [SectionDelta]s, whose size is that of the changed elements. */
public object SectionDeltas {
    /** Returns the delta from [base] to [next], both with their versions set. */
    public fun between(base: Section, next: Section): SectionDelta {
        val delta = SectionDelta.newBuilder()
            .setSection(next.name)
            .setBaseVersion(base.version)
            .setVersion(next.version)
            .setResultHash(hashOf(next))
        val field = next.bodyField() ?: return delta.setChanged(next).build()
        val oldBody = base.getField(field) as Message
        val newBody = next.getField(field) as Message
        val changedBody = newBody.toBuilder()
        for (list in newBody.descriptorForType.namedLists()) {
            val old = oldBody.byName(list)
            val new = newBody.byName(list)
            changedBody.setField(list, new.filter { (name, it) -> old[name] != it }.values.toList())
            (old.keys - new.keys).forEach { delta.addRemoved("${list.name}/$it") }
        }
        return delta.setChanged(next.toBuilder().setField(field, changedBody.build())).build()
    }

    /**
     * Applies [delta] to [base]. Returns null if [base] is not the base version of the delta, or if
     * the hash of the result differs from the one that the writer of the delta recorded.
     */
    public fun apply(base: Section, delta: SectionDelta): Section? {
        if (base.version != delta.baseVersion) return null
        val field = delta.changed.bodyField()
        val result = if (field == null || field != base.bodyField()) {
            delta.changed
        } else {
            merge(base, delta, field)
        }
        return result.takeIf { hashOf(it) == delta.resultHash }
    }

    private fun merge(base: Section, delta: SectionDelta, field: FieldDescriptor): Section {
        val removed = delta.removedList.toSet()
        val oldBody = base.getField(field) as Message
        val changed = delta.changed.getField(field) as Message
        val body = changed.toBuilder()
        for (list in changed.descriptorForType.namedLists()) {
            val kept = oldBody.byName(list).filterKeys { "${list.name}/$it" !in removed }
            val merged = kept + changed.byName(list)
            body.setField(list, merged.toSortedMap().values.toList())
        }
        return delta.changed.toBuilder().setField(field, body.build()).build()
    }

    private fun Message.byName(list: FieldDescriptor): Map<String, Message> =
        elements(list).associateBy { elementName(it) }

    private fun hashOf(section: Section): Long {
        val crc = CRC32C()
        crc.update(section.sorted().build().toByteArray())
        return crc.value
    }
}
