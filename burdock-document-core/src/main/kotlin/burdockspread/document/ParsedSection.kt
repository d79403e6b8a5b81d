/** A section version in a document replica. */
package burdockspread.document

/**
 * One version of one section, parsed.
 *
 * @property json canonical JSON as sent to peers; empty for a removed section.
 * @property body typed content; null for a removed section.
 */
internal class ParsedSection(
    val name: String,
    val version: Long,
    val json: String,
    val body: SectionBody?,
)
