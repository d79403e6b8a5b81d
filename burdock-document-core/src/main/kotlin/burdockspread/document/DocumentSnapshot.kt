/** What one host knows of the document at one moment. */
package burdockspread.document

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList

/**
 * Immutable state of the document on one host.
 *
 * @property view the document in force, for the path of requests.
 * @property inForce sections in force, removed ones included.
 * @property waiting higher versions of sections that do not yet fit the others.
 */
public class DocumentSnapshot internal constructor(
    public val view: DocumentView,
    internal val inForce: PersistentMap<String, HeldSection>,
    internal val waiting: PersistentMap<String, HeldSection>,
) {
    /** Versions of all sections. */
    public val versions: SectionVersions = SectionVersions(
        inForce.mapVersions(),
        waiting.mapVersions(),
    )

    /** The held version of every section as peers take it, for a host that has none. */
    public fun entries(): ImmutableList<VersionedSection> = inForce.putAll(waiting).values
        .map { VersionedSection.of(it.name, it.version, it.json) }
        .toImmutableList()

    /** Canonical JSON of [section] in force; null when it is not known or was removed. */
    public fun json(section: String): String? = inForce[section]?.json?.takeIf { it.isNotEmpty() }

    internal fun held(section: String): HeldSection? = waiting[section] ?: inForce[section]

    public companion object {
        /** The state of a host that has no document. */
        public val EMPTY: DocumentSnapshot =
            DocumentSnapshot(DocumentView.EMPTY, persistentMapOf(), persistentMapOf())
    }
}

private fun PersistentMap<String, HeldSection>.mapVersions(): PersistentMap<String, Long> =
    persistentMapOf<String, Long>().putAll(mapValues { it.value.version })
