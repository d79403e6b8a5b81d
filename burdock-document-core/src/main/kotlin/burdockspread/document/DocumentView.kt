/** Index of the active document for lookups on the request path. */
package burdockspread.document

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.id.ModelId
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf

/**
 * Immutable index of the whole document. Every lookup is one hash lookup without allocation.
 *
 * A view is derived from its predecessor, so that the cost of an edit is proportional to the
 * elements that it changes.
 */
// The maps have string keys because value classes would be boxed as keys on each lookup.
public class DocumentView private constructor(
    private val organisationsById: PersistentMap<String, Organisation> = persistentHashMapOf(),
    private val organisationsByKeyHash: PersistentMap<String, Organisation> = persistentHashMapOf(),
    private val modelsById: PersistentMap<String, Model> = persistentHashMapOf(),
    private val prioritiesByName: PersistentMap<String, Priority> = persistentHashMapOf(),
    private val servicesById: PersistentMap<String, Service> = persistentHashMapOf(),
    private val domainsById: PersistentMap<String, FailureDomain> = persistentHashMapOf(),
    private val hostsById: PersistentMap<String, EntryHost> = persistentHashMapOf(),
    private val targetsById: PersistentMap<String, Target> = persistentHashMapOf(),
    private val targetGroups: TargetGroups = TargetGroups.EMPTY,
) {
    /** Whether the document has no models, organisations and failure domains. */
    public val isEmpty: Boolean
        get() = modelsById.isEmpty() && domainsById.isEmpty() && organisationsById.isEmpty()

    /** All organisations. */
    public val organisations: Collection<Organisation> get() = organisationsById.values

    /** All models. */
    public val models: Collection<Model> get() = modelsById.values

    /** All priorities. */
    public val priorities: Collection<Priority> get() = prioritiesByName.values

    /** All non-model services. */
    public val services: Collection<Service> get() = servicesById.values

    /** All failure domains. */
    public val failureDomains: Collection<FailureDomain> get() = domainsById.values

    /** All entry hosts. */
    public val hosts: Collection<EntryHost> get() = hostsById.values

    /** All targets. */
    public val targets: Collection<Target> get() = targetsById.values

    /** Returns the owner of the API key with this SHA-256 hash in lower-case hexadecimal. */
    public fun organisationByKeyHash(sha256: String): Organisation? = organisationsByKeyHash[sha256]

    /** Returns the organisation, or null if the document does not define it. */
    public fun organisation(id: OrganisationId): Organisation? = organisationsById[id.value]

    /** Returns the model, or null if the document does not define it. */
    public fun model(id: ModelId): Model? = modelsById[id.value]

    /** Returns the priority, or null if the document does not define it. */
    public fun priority(name: PriorityName): Priority? = prioritiesByName[name.value]

    /** Returns the service, or null if the document does not define it. */
    public fun service(id: ServiceId): Service? = servicesById[id.value]

    /** Returns the call of a service, or null if the document does not define it. */
    public fun call(id: ServiceId, call: String): ServiceCall? =
        servicesById[id.value]?.calls?.get(call)

    /** Returns the failure domain, or null if the document does not define it. */
    public fun failureDomain(id: FailureDomainId): FailureDomain? = domainsById[id.value]

    /** Returns the entry host, or null if the document does not define it. */
    public fun host(id: HostId): EntryHost? = hostsById[id.value]

    /** Returns the target, or null if the document does not define it. */
    public fun target(id: TargetId): Target? = targetsById[id.value]

    /** Returns the engines that serve the model, including those that are leaving. */
    public fun targetsOf(model: ModelId): ImmutableList<Target> =
        targetGroups.byModel[model.value] ?: persistentListOf()

    /** Returns the targets that provide the service, including those that are leaving. */
    public fun targetsOf(service: ServiceId): ImmutableList<Target> =
        targetGroups.byService[service.value] ?: persistentListOf()

    /** Returns a view in which the section bodies [old] are replaced by [new]. */
    internal fun replace(old: List<SectionBody>, new: List<SectionBody>): DocumentView {
        val oldOrganisations = old.flatMap { it.organisations }
        val newOrganisations = new.flatMap { it.organisations }
        val oldDomains = old.mapNotNull { it.failureDomain }
        val newDomains = new.mapNotNull { it.failureDomain }
        val domains = domainsById.replace(oldDomains, newDomains) { it.id.value }
        return DocumentView(
            organisationsById.replace(oldOrganisations, newOrganisations) { it.id.value },
            organisationsByKeyHash.replaceKeyHashes(oldOrganisations, newOrganisations),
            modelsById.replace(
                old.flatMap {
                    it.models
                },
                new.flatMap { it.models },
            ) { it.id.value },
            prioritiesByName.replace(
                old.flatMap { it.priorities },
                new.flatMap { it.priorities },
            ) { it.name.value },
            servicesById.replace(old.flatMap { it.services }, new.flatMap { it.services }) {
                it.id.value
            },
            domains,
            hostsById.replace(oldDomains.flatMap { it.hosts }, newDomains.flatMap { it.hosts }) {
                it.id.value
            },
            targetsById.replace(
                oldDomains.flatMap { it.targets },
                newDomains.flatMap { it.targets },
            ) { it.id.value },
            if (domains === domainsById) targetGroups else TargetGroups.of(domains.values),
        )
    }

    public companion object {
        /** The view of a host without a document. */
        public val EMPTY: DocumentView = DocumentView()

        /** Creates the view of [sections], which have passed the [DocumentValidator]. */
        public fun of(sections: Collection<SectionBody>): DocumentView =
            EMPTY.replace(emptyList(), sections.toList())
    }
}

private fun <T> PersistentMap<String, T>.replace(
    old: List<T>,
    new: List<T>,
    key: (T) -> String,
): PersistentMap<String, T> {
    if (old.isEmpty() && new.isEmpty()) return this
    val kept = new.mapTo(HashSet(new.size * 2)) { key(it) }
    return mutate { map ->
        old.map(key).filterNot { it in kept }.forEach { map.remove(it) }
        new.filter { map[key(it)] != it }.forEach { map[key(it)] = it }
    }
}

private fun PersistentMap<String, Organisation>.replaceKeyHashes(
    old: List<Organisation>,
    new: List<Organisation>,
): PersistentMap<String, Organisation> = mutate { map ->
    old.forEach { organisation -> organisation.apiKeyHashes.forEach { map.remove(it) } }
    new.forEach { organisation -> organisation.apiKeyHashes.forEach { map[it] = organisation } }
}
