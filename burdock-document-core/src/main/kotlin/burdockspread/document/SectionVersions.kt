/** Section versions on a host, compact enough to be added to messages between hosts. */
package burdockspread.document

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Versions of all sections on one host.
 *
 * @property inForce active version of each section.
 * @property waiting higher versions that are not yet consistent with the active sections.
 */
public data class SectionVersions(
    public val inForce: PersistentMap<String, Long> = persistentMapOf(),
    public val waiting: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Returns the highest version of [section] on the host, active or waiting; 0 for none. */
    public fun latest(section: String): Long = waiting[section] ?: inForce[section] ?: 0

    /** The highest version across all sections. */
    public val highest: Long
        get() = maxOf(inForce.values.maxOrNull() ?: 0, waiting.values.maxOrNull() ?: 0)
}
