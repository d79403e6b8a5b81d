/** Snapshot of the document on one host. */
package burdockspread.document

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList

/**
 * Immutable state of the document on one host.
 *
 * @property view the active document, indexed for lookups on the request path.
 * @property inForce active sections, including removed ones.
 * @property waiting higher versions of sections that are not yet consistent with the active ones.
 */
public class DocumentSnapshot internal constructor(
    public val view: DocumentView,
    internal val inForce: PersistentMap<String, ParsedSection>,
    internal val waiting: PersistentMap<String, ParsedSection>,
) {
    /** Versions of all sections. */
    public val versions: SectionVersions = SectionVersions(
        inForce.versionsByName(),
        waiting.versionsByName(),
    )

    /** Returns the latest version of every section, encoded for a peer that has no document. */
    public fun sections(): ImmutableList<VersionedSection> = inForce.putAll(waiting).values
        .map { VersionedSection.of(it.name, it.version, it.json) }
        .toImmutableList()

    /** Returns the canonical JSON of the active [section]; null if it is unknown or removed. */
    public fun json(section: String): String? = inForce[section]?.json?.takeIf { it.isNotEmpty() }

    internal fun latest(section: String): ParsedSection? = waiting[section] ?: inForce[section]

    public companion object {
        /** The state of a host without a document. */
        public val EMPTY: DocumentSnapshot =
            DocumentSnapshot(DocumentView.EMPTY, persistentMapOf(), persistentMapOf())
    }
}

private fun PersistentMap<String, ParsedSection>.versionsByName(): PersistentMap<String, Long> =
    persistentMapOf<String, Long>().putAll(mapValues { it.value.version })
