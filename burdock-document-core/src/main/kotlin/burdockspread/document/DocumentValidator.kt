/** Checks that the sections of the document fit together. */
package burdockspread.document

/** Checks references, duplicates and ownership across sections. */
public object DocumentValidator {
    /** Name of the section that names the owner of each section. */
    public const val ROOT: String = "root"

    /** All problems between [sections], each of which has passed the [SectionReader]. */
    public fun validate(sections: Collection<SectionBody>): List<DocumentProblem> =
        checkChange(emptyMap(), sections)

    /**
     * All problems between [after], given that [before] has none. Sections that are the same
     * objects in both cost little.
     */
    internal fun checkChange(
        before: Map<String, SectionBody>,
        after: Collection<SectionBody>,
    ): List<DocumentProblem> {
        val problems = ArrayList<DocumentProblem>()
        checkListed(after, problems)
        checkDuplicates(before, after, problems)
        checkReferences(after, problems)
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

    /** Only claims that [before] did not hold can clash. */
    private fun checkDuplicates(
        before: Map<String, SectionBody>,
        after: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val kept = after.filter { it.name in before }
        val added = HashMap<String, String>()
        for (section in after) {
            val old = before[section.name]
            if (old === section) continue
            section.summary.repeated.forEach {
                problems += DocumentProblem(section.name, "", "$it is there twice")
            }
            val oldClaims = old?.summary?.claims.orEmpty()
            for (claim in section.summary.claims) {
                if (claim in oldClaims) continue
                val other = added.put(claim, section.name)
                    ?: kept.find { it !== section && keeps(it, before, claim) }?.name
                    ?: continue
                val message = "$claim is also in section $other"
                problems += DocumentProblem(section.name, "", message)
            }
        }
    }

    private fun keeps(
        section: SectionBody,
        before: Map<String, SectionBody>,
        claim: String,
    ): Boolean = claim in section.summary.claims &&
        claim in before.getValue(section.name).summary.claims

    private fun checkReferences(
        sections: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val known = sections.filter { it.failureDomain == null && it.organisations.isEmpty() }
            .flatMapTo(HashSet()) { it.summary.claims }
        for (section in sections) {
            for ((name, path) in section.summary.references) {
                if (name in known) continue
                problems += DocumentProblem(section.name, path, "no section describes $name")
            }
        }
    }
}
