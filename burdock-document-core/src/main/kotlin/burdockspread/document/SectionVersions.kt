/** Versions of the sections that a host has, small enough to ride on messages between hosts. */
package burdockspread.document

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Versions of all sections of one host.
 *
 * @property inForce version of each section that the host works by.
 * @property waiting higher versions that the host holds but that do not yet fit the others.
 */
public data class SectionVersions(
    public val inForce: PersistentMap<String, Long> = persistentMapOf(),
    public val waiting: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Highest version of [section] that the host holds; 0 when it has none. */
    public fun held(section: String): Long = waiting[section] ?: inForce[section] ?: 0

    /** Highest version of all sections. */
    public val highest: Long
        get() = maxOf(inForce.values.maxOrNull() ?: 0, waiting.values.maxOrNull() ?: 0)
}
