/** The document in force, indexed for the path of a request. */
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
 * Immutable view of the whole document. Every lookup is one hash lookup and allocates nothing.
 *
 * A view is made from the one before it, so that an edit costs what it changes.
 */
// Maps are keyed by strings, since value classes as keys would be boxed on each lookup.
public class DocumentView private constructor(
    private val organisationsById: PersistentMap<String, Organisation> = persistentHashMapOf(),
    private val organisationsByKey: PersistentMap<String, Organisation> = persistentHashMapOf(),
    private val modelsById: PersistentMap<String, Model> = persistentHashMapOf(),
    private val prioritiesByName: PersistentMap<String, Priority> = persistentHashMapOf(),
    private val servicesById: PersistentMap<String, Service> = persistentHashMapOf(),
    private val domainsById: PersistentMap<String, FailureDomain> = persistentHashMapOf(),
    private val hostsById: PersistentMap<String, EntryHost> = persistentHashMapOf(),
    private val targetsById: PersistentMap<String, Target> = persistentHashMapOf(),
    private val groups: TargetGroups = TargetGroups.EMPTY,
) {
    /** Whether the document names no model, organisation or failure domain. */
    public val isEmpty: Boolean
        get() = modelsById.isEmpty() && domainsById.isEmpty() && organisationsById.isEmpty()

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
        groups.byModel[model.value] ?: persistentListOf()

    /** Targets that offer the service, leaving ones included. */
    public fun targetsOf(service: ServiceId): ImmutableList<Target> =
        groups.byService[service.value] ?: persistentListOf()

    /** The view after sections with the bodies [old] were replaced by [new]. */
    internal fun replace(old: List<SectionBody>, new: List<SectionBody>): DocumentView {
        val oldOrganisations = old.flatMap { it.organisations }
        val newOrganisations = new.flatMap { it.organisations }
        val oldDomains = old.mapNotNull { it.failureDomain }
        val newDomains = new.mapNotNull { it.failureDomain }
        val domains = domainsById.replace(oldDomains, newDomains) { it.id.value }
        return DocumentView(
            organisationsById.replace(oldOrganisations, newOrganisations) { it.id.value },
            organisationsByKey.replaceKeys(oldOrganisations, newOrganisations),
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
            if (domains === domainsById) groups else TargetGroups.of(domains.values),
        )
    }

    public companion object {
        /** The view of a host that has no document. */
        public val EMPTY: DocumentView = DocumentView()

        /** Indexes [sections], which have passed the [DocumentValidator]. */
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

private fun PersistentMap<String, Organisation>.replaceKeys(
    old: List<Organisation>,
    new: List<Organisation>,
): PersistentMap<String, Organisation> = mutate { map ->
    old.forEach { organisation -> organisation.apiKeyHashes.forEach { map.remove(it) } }
    new.forEach { organisation -> organisation.apiKeyHashes.forEach { map[it] = organisation } }
}
