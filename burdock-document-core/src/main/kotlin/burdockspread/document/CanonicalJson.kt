/** The one text form of a section, so that equal sections have equal texts. */
package burdockspread.document

import burdockspread.json.ProtoJson
import burdockspread.wire.document.Section

/** Writes sections with a fixed order of their elements. */
public object CanonicalJson {
    /** [section] at [version] with all elements in order of their names. */
    public fun normalise(section: Section, version: Long): Section =
        section.sorted().setVersion(version).build()

    /** One line of JSON for [section] at [version]. */
    public fun write(section: Section, version: Long): String =
        ProtoJson.writeLine(normalise(section, version))

    /** Indented JSON for people, with the version that an edit has to start from. */
    public fun writeIndented(section: Section, version: Long): String =
        ProtoJson.write(normalise(section, version))
}
