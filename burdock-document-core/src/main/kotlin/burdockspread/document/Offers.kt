/** Decides which offered sections become active. */
package burdockspread.document

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import burdockspread.wire.document.Section
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

internal fun parseSection(
    name: String,
    version: Long,
    json: String,
): Either<NonEmptyList<DocumentProblem>, ParsedSection> {
    if (json.isEmpty()) return ParsedSection(name, version, json, null).right()
    return SectionReader.parseCanonical(name, json).flatMap { parseSection(name, version, it) }
}

internal fun parseSection(
    name: String,
    version: Long,
    section: Section,
): Either<NonEmptyList<DocumentProblem>, ParsedSection> =
    SectionReader.read(section).flatMap { body ->
        if (body.name == name) {
            ParsedSection(name, version, CanonicalJson.write(section, version), body).right()
        } else {
            val problem = DocumentProblem(name, "name", "differs from the key: \"${body.name}\"")
            Either.Left(nonEmptyListOf(problem))
        }
    }

/** Activates [section], alone or together with waiting sections, or keeps it waiting. */
internal fun DocumentSnapshot.offer(section: ParsedSection): OfferOutcome {
    val current = latest(section.name)?.version ?: 0
    if (section.version <= current) return OfferOutcome(this, OfferResult.Stale(current))
    val candidates = waiting.put(section.name, section)
    val problems = problemsOf(inForce, candidates.values)
    val next = if (problems.isEmpty()) {
        activate(candidates.values, persistentMapOf())
    } else {
        activateCompatible(candidates)
    }
    val result = if (next.inForce[section.name] === section) {
        OfferResult.Applied(next.versions)
    } else {
        OfferResult.Waiting(checkNotNull(problems.toNonEmptyListOrNull()))
    }
    return OfferOutcome(next, result)
}

/** Activates candidates one by one for as long as one of them is consistent. */
private fun DocumentSnapshot.activateCompatible(
    candidates: PersistentMap<String, ParsedSection>,
): DocumentSnapshot {
    val selected = ArrayList<ParsedSection>()
    var remaining = candidates
    while (true) {
        val compatible = remaining.values
            .firstOrNull { problemsOf(inForce, selected + it).isEmpty() }
            ?: break
        selected += compatible
        remaining = remaining.remove(compatible.name)
    }
    return activate(selected, remaining)
}

private fun DocumentSnapshot.activate(
    selected: Collection<ParsedSection>,
    remaining: PersistentMap<String, ParsedSection>,
): DocumentSnapshot {
    val old = selected.mapNotNull { inForce[it.name]?.body }
    val next = view.replace(old, selected.mapNotNull { it.body })
    return DocumentSnapshot(next, inForce.putAll(selected.associateBy { it.name }), remaining)
}

private fun problemsOf(
    inForce: PersistentMap<String, ParsedSection>,
    changed: Collection<ParsedSection>,
): List<DocumentProblem> {
    val after = inForce.putAll(changed.associateBy { it.name })
    return DocumentValidator.checkChange(bodies(inForce), bodies(after).values)
}

private fun bodies(sections: Map<String, ParsedSection>): Map<String, SectionBody> =
    sections.values.mapNotNull { it.body }.associateBy { it.name }
