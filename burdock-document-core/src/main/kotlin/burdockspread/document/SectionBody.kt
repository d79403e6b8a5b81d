/** A section read into typed values. */
package burdockspread.document

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * What one section says. A section has one kind of body, so all other lists are empty.
 *
 * @property owners owner of each section, in the section `root` only.
 */
public data class SectionBody(
    public val name: String,
    public val owner: String,
    public val version: Long,
    public val owners: ImmutableList<SectionOwner> = persistentListOf(),
    public val models: ImmutableList<Model> = persistentListOf(),
    public val organisations: ImmutableList<Organisation> = persistentListOf(),
    public val priorities: ImmutableList<Priority> = persistentListOf(),
    public val services: ImmutableList<Service> = persistentListOf(),
    public val failureDomain: FailureDomain? = null,
) {
    internal val summary: SectionSummary by lazy { SectionSummary(this) }
}

/** Team that may edit one section. */
public data class SectionOwner(public val section: String, public val owner: String)
