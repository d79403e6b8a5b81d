/** Names that a section defines and references, for the validation across sections. */
package burdockspread.document

/**
 * Names that one section defines and references.
 *
 * @property uniqueNames kind and name of every definition that must be unique in the document.
 * @property duplicates entries of [uniqueNames] that the section defines more than once.
 * @property references kind and name of every referenced definition, with its first field path.
 */
internal class SectionSummary(body: SectionBody) {
    val uniqueNames = HashSet<String>()
    val duplicates = ArrayList<String>()
    val references = LinkedHashMap<String, String>()

    init {
        body.models.forEach { defineUnique("model", it.id.value) }
        body.priorities.forEach { defineUnique("priority", it.name.value) }
        body.services.forEach { defineUnique("service", it.id.value) }
        body.organisations.forEach { addOrganisation(it) }
        body.failureDomain?.let { addDomain(it) }
    }

    private fun addOrganisation(organisation: Organisation) {
        defineUnique("organisation", organisation.id.value)
        organisation.apiKeyHashes.forEach { defineUnique("API key hash", it) }
        val path = "organisations.organisations[${organisation.id}].defaultPriority"
        addReference("priority", organisation.defaultPriority.value, path)
    }

    private fun addDomain(domain: FailureDomain) {
        defineUnique("failure domain", domain.id.value)
        for (host in domain.hosts) {
            defineUnique("host", host.id.value)
            defineUnique("address", host.peerAddress)
        }
        for (target in domain.targets) {
            defineUnique("target", target.id.value)
            defineUnique("address", target.address)
            val path = "failureDomain.targets[${target.id}]"
            target.models.forEach { addReference("model", it.value, "$path.models") }
            target.service?.let { addReference("service", it.value, "$path.service") }
        }
    }

    private fun defineUnique(kind: String, name: String) {
        val uniqueName = qualifiedName(kind, name)
        if (!uniqueNames.add(uniqueName)) duplicates += uniqueName
    }

    private fun addReference(kind: String, name: String, path: String) {
        references.putIfAbsent(qualifiedName(kind, name), path)
    }

    private fun qualifiedName(kind: String, name: String) = "$kind \"$name\""
}
