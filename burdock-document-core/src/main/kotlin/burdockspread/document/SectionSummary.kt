/** What a section claims for itself and needs from others, as the checks across sections use it. */
package burdockspread.document

/**
 * Summary of one section.
 *
 * @property claims kind and name of everything that must be unique in the document.
 * @property repeated claims that the section itself makes twice.
 * @property references kind and name of everything that must exist, with the first path to it.
 */
internal class SectionSummary(body: SectionBody) {
    val claims = HashSet<String>()
    val repeated = ArrayList<String>()
    val references = LinkedHashMap<String, String>()

    init {
        body.models.forEach { claim("model", it.id.value) }
        body.priorities.forEach { claim("priority", it.name.value) }
        body.services.forEach { claim("service", it.id.value) }
        body.organisations.forEach { addOrganisation(it) }
        body.failureDomain?.let { addDomain(it) }
    }

    private fun addOrganisation(organisation: Organisation) {
        claim("organisation", organisation.id.value)
        organisation.apiKeyHashes.forEach { claim("API key hash", it) }
        val path = "organisations.organisations[${organisation.id}].defaultPriority"
        refer("priority", organisation.defaultPriority.value, path)
    }

    private fun addDomain(domain: FailureDomain) {
        claim("failure domain", domain.id.value)
        for (host in domain.hosts) {
            claim("host", host.id.value)
            claim("address", host.peerAddress)
        }
        for (target in domain.targets) {
            claim("target", target.id.value)
            claim("address", target.address)
            val path = "failureDomain.targets[${target.id}]"
            target.models.forEach { refer("model", it.value, "$path.models") }
            target.service?.let { refer("service", it.value, "$path.service") }
        }
    }

    private fun claim(kind: String, name: String) {
        val claim = nameOf(kind, name)
        if (!claims.add(claim)) repeated += claim
    }

    private fun refer(kind: String, name: String, path: String) {
        references.putIfAbsent(nameOf(kind, name), path)
    }

    private fun nameOf(kind: String, name: String) = "$kind \"$name\""
}
