/** One version of one section as a host holds it. */
package burdockspread.document

/**
 * One version of one section.
 *
 * @property json canonical JSON, which peers get; empty when the section was removed.
 * @property body what the section says; null when it was removed.
 */
internal class HeldSection(
    val name: String,
    val version: Long,
    val json: String,
    val body: SectionBody?,
)
