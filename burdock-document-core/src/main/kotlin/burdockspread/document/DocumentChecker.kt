/** Checks that the sections of the document fit together. */
package burdockspread.document

/** Checks references, duplicates and ownership across sections. */
public object DocumentChecker {
    /** Name of the section that names the owner of each section. */
    public const val ROOT: String = "root"

    /** All problems between [sections], each of which has passed the [SectionReader]. */
    public fun check(sections: Collection<SectionBody>): List<DocumentProblem> {
        val problems = ArrayList<DocumentProblem>()
        checkListed(sections, problems)
        checkDuplicates(sections, problems)
        checkReferences(sections, problems)
        return problems
    }

    private fun checkListed(
        sections: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val listed = sections.filter { it.name == ROOT }
            .flatMap { it.owners }
            .mapTo(HashSet()) { it.section }
        for (section in sections) {
            if (section.name in listed) continue
            problems += DocumentProblem(section.name, "name", "section $ROOT does not list it")
        }
    }

    private fun checkDuplicates(
        sections: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val seen = Seen(problems)
        for (section in sections) {
            section.models.forEach { seen.add(section, "model", it.id.value) }
            section.priorities.forEach { seen.add(section, "priority", it.name.value) }
            section.services.forEach { seen.add(section, "service", it.id.value) }
            for (organisation in section.organisations) {
                seen.add(section, "organisation", organisation.id.value)
                organisation.apiKeyHashes.forEach { seen.add(section, "API key hash", it) }
            }
            section.failureDomain?.let { checkDomain(section, it, seen) }
        }
    }

    private fun checkDomain(section: SectionBody, domain: FailureDomain, seen: Seen) {
        seen.add(section, "failure domain", domain.id.value)
        for (host in domain.hosts) {
            seen.add(section, "host", host.id.value)
            seen.add(section, "address", host.peerAddress)
        }
        for (target in domain.targets) {
            seen.add(section, "target", target.id.value)
            seen.add(section, "address", target.address)
        }
    }

    private fun checkReferences(
        sections: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val priorities = sections.flatMap { it.priorities }.mapTo(HashSet()) { it.name }
        val models = sections.flatMap { it.models }.mapTo(HashSet()) { it.id }
        val services = sections.flatMap { it.services }.mapTo(HashSet()) { it.id }
        for (section in sections) {
            for (organisation in section.organisations) {
                if (organisation.defaultPriority in priorities) continue
                val path = "organisations.organisations[${organisation.id}].defaultPriority"
                problems += unknown(section, path, "priority", organisation.defaultPriority.value)
            }
            for (target in section.failureDomain?.targets.orEmpty()) {
                val path = "failureDomain.targets[${target.id}]"
                target.models.filterNot { it in models }.forEach {
                    problems += unknown(section, "$path.models", "model", it.value)
                }
                target.service?.takeIf { it !in services }?.let {
                    problems += unknown(section, "$path.service", "service", it.value)
                }
            }
        }
    }

    private fun unknown(section: SectionBody, path: String, kind: String, name: String) =
        DocumentProblem(section.name, path, "no section describes $kind \"$name\"")

    /** Reports names that two places use. */
    private class Seen(private val problems: MutableList<DocumentProblem>) {
        private val places = HashMap<String, HashMap<String, String>>()

        fun add(section: SectionBody, kind: String, name: String) {
            val earlier = places.getOrPut(kind) { HashMap() }.put(name, section.name) ?: return
            val message = "$kind \"$name\" is also in section $earlier"
            problems += DocumentProblem(section.name, "", message)
        }
    }
}
