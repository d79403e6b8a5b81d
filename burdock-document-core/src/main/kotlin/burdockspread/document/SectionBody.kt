/** Typed content of a section. */
package burdockspread.document

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Content of one section. A section has a single kind of body; the properties of all other kinds
 * are empty.
 *
 * @property owners owner of each section; only in the section `root`.
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

/** The team that may edit a section. */
public data class SectionOwner(public val section: String, public val owner: String)
