/** Validation of the document across sections. */
package burdockspread.document

/** Validates references, unique names and the section list across sections. */
public object DocumentValidator {
    /** Name of the section that lists all sections with their owners. */
    public const val ROOT: String = "root"

    /** Returns all problems across [sections], each of which has passed the [SectionReader]. */
    public fun validate(sections: Collection<SectionBody>): List<DocumentProblem> =
        checkChange(emptyMap(), sections)

    /**
     * Returns all problems across [after], given that [before] has none. Unchanged sections are
     * recognised by object identity and are cheap to check.
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
        val listedNames = sections.filter { it.name == ROOT }
            .flatMap { it.owners }
            .mapTo(HashSet()) { it.section }
        for (section in sections) {
            if (section.name in listedNames) continue
            problems += DocumentProblem(section.name, "name", "is not listed in section $ROOT")
        }
    }

    /** Checks only names that are new in a section: the names in [before] have no duplicates. */
    private fun checkDuplicates(
        before: Map<String, SectionBody>,
        after: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val existing = after.filter { it.name in before }
        val addedNames = HashMap<String, String>()
        for (section in after) {
            val previous = before[section.name]
            if (previous === section) continue
            section.summary.duplicates.forEach {
                problems += DocumentProblem(section.name, "", "$it is defined more than once")
            }
            val previousNames = previous?.summary?.uniqueNames.orEmpty()
            for (uniqueName in section.summary.uniqueNames) {
                if (uniqueName in previousNames) continue
                val other = addedNames.put(uniqueName, section.name)
                    ?: existing.find { it !== section && retains(it, before, uniqueName) }?.name
                    ?: continue
                val message = "$uniqueName is also defined in section $other"
                problems += DocumentProblem(section.name, "", message)
            }
        }
    }

    private fun retains(
        section: SectionBody,
        before: Map<String, SectionBody>,
        uniqueName: String,
    ): Boolean = uniqueName in section.summary.uniqueNames &&
        uniqueName in before.getValue(section.name).summary.uniqueNames

    private fun checkReferences(
        sections: Collection<SectionBody>,
        problems: MutableList<DocumentProblem>,
    ) {
        val defined = sections.filter { it.failureDomain == null && it.organisations.isEmpty() }
            .flatMapTo(HashSet()) { it.summary.uniqueNames }
        for (section in sections) {
            for ((name, path) in section.summary.references) {
                if (name in defined) continue
                problems += DocumentProblem(section.name, path, "no section defines $name")
            }
        }
    }
}
