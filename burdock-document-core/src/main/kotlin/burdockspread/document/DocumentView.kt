/** The document in force, indexed for the path of a request. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ModelId
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** Immutable view of the whole document. Every lookup is one hash lookup and allocates nothing. */
// Maps are keyed by strings, since value classes as keys would be boxed on each lookup.
public class DocumentView private constructor(sections: Collection<SectionBody>) {
    private val organisationsById: Map<String, Organisation> =
        sections.flatMap { it.organisations }.associateBy { it.id.value }
    private val organisationsByKey: Map<String, Organisation> = organisationsById.values
        .flatMap { org -> org.apiKeyHashes.map { it to org } }
        .toMap()
    private val modelsById: Map<String, Model> =
        sections.flatMap { it.models }.associateBy { it.id.value }
    private val prioritiesByName: Map<String, Priority> =
        sections.flatMap { it.priorities }.associateBy { it.name.value }
    private val servicesById: Map<String, Service> =
        sections.flatMap { it.services }.associateBy { it.id.value }
    private val domainsById: Map<String, FailureDomain> =
        sections.mapNotNull { it.failureDomain }.associateBy { it.id.value }
    private val hostsById: Map<String, EntryHost> =
        domainsById.values.flatMap { it.hosts }.associateBy { it.id.value }
    private val targetsById: Map<String, Target> =
        domainsById.values.flatMap { it.targets }.associateBy { it.id.value }
    private val targetsByModel: Map<String, ImmutableList<Target>> = groupByModel()
    private val targetsByService: Map<String, ImmutableList<Target>> = groupByService()

    /** Whether no section is in force. */
    public val isEmpty: Boolean = sections.isEmpty()

    /** All organisations. */
    public val organisations: Collection<Organisation> get() = organisationsById.values

    /** All models. */
    public val models: Collection<Model> get() = modelsById.values

    /** All priorities. */
    public val priorities: Collection<Priority> get() = prioritiesByName.values

    /** All plain services. */
    public val services: Collection<Service> get() = servicesById.values

    /** All failure domains. */
    public val failureDomains: Collection<FailureDomain> get() = domainsById.values

    /** All entry hosts. */
    public val hosts: Collection<EntryHost> get() = hostsById.values

    /** All targets. */
    public val targets: Collection<Target> get() = targetsById.values

    /** The organisation that owns the API key with this SHA-256 in lower-case hexadecimal. */
    public fun organisationByKeyHash(sha256: String): Organisation? = organisationsByKey[sha256]

    /** The organisation, or null when the document names no such one. */
    public fun organisation(id: OrganisationId): Organisation? = organisationsById[id.value]

    /** The model, or null when the document names no such one. */
    public fun model(id: ModelId): Model? = modelsById[id.value]

    /** The priority, or null when the document names no such one. */
    public fun priority(name: PriorityName): Priority? = prioritiesByName[name.value]

    /** The service, or null when the document names no such one. */
    public fun service(id: ServiceId): Service? = servicesById[id.value]

    /** The call of a service, or null when the document names no such one. */
    public fun call(id: ServiceId, call: String): ServiceCall? =
        servicesById[id.value]?.calls?.get(call)

    /** The failure domain, or null when the document names no such one. */
    public fun failureDomain(id: FailureDomainId): FailureDomain? = domainsById[id.value]

    /** The entry host, or null when the document names no such one. */
    public fun host(id: HostId): EntryHost? = hostsById[id.value]

    /** The target, or null when the document names no such one. */
    public fun target(id: TargetId): Target? = targetsById[id.value]

    /** Engines that serve the model, leaving ones included. */
    public fun targetsOf(model: ModelId): ImmutableList<Target> =
        targetsByModel[model.value] ?: persistentListOf()

    /** Targets that offer the service, leaving ones included. */
    public fun targetsOf(service: ServiceId): ImmutableList<Target> =
        targetsByService[service.value] ?: persistentListOf()

    private fun groupByModel(): Map<String, ImmutableList<Target>> {
        val groups = HashMap<String, MutableList<Target>>()
        for (target in targetsById.values) {
            target.models.forEach { groups.getOrPut(it.value) { ArrayList() } += target }
        }
        return groups.mapValues { it.value.toImmutableList() }
    }

    private fun groupByService(): Map<String, ImmutableList<Target>> = targetsById.values
        .filter { it.service != null }
        .groupBy { checkNotNull(it.service).value }
        .mapValues { it.value.toImmutableList() }

    public companion object {
        /** The view of a host that has no document. */
        public val EMPTY: DocumentView = DocumentView(emptyList())

        /** Indexes [sections], which have passed the [DocumentChecker]. */
        public fun of(sections: Collection<SectionBody>): DocumentView = DocumentView(sections)
    }
}
