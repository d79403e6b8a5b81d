/** Canonical JSON of sections: equal sections have the same text. */
package burdockspread.document

import burdockspread.json.ProtoJson
import burdockspread.wire.document.Section

/** Writes sections with their elements in a fixed order. */
public object CanonicalJson {
    /** Returns [section] at [version] with all named elements sorted by name. */
    public fun normalise(section: Section, version: Long): Section =
        section.sorted().setVersion(version).build()

    /** Returns [section] at [version] as single-line JSON. */
    public fun write(section: Section, version: Long): String =
        ProtoJson.writeLine(normalise(section, version))

    /** Returns indented JSON for operators; [version] is the base version for the next edit. */
    public fun writeIndented(section: Section, version: Long): String =
        ProtoJson.write(normalise(section, version))
}
