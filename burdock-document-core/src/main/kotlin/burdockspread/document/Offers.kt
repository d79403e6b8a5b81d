/** Decides which sections of a host come into force. */
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

internal fun readHeld(
    name: String,
    version: Long,
    json: String,
): Either<NonEmptyList<DocumentProblem>, HeldSection> {
    if (json.isEmpty()) return HeldSection(name, version, json, null).right()
    return SectionReader.parseCanonical(name, json).flatMap { readHeld(name, version, it) }
}

internal fun readHeld(
    name: String,
    version: Long,
    section: Section,
): Either<NonEmptyList<DocumentProblem>, HeldSection> =
    SectionReader.read(section).flatMap { body ->
        if (body.name == name) {
            HeldSection(name, version, CanonicalJson.write(section, version), body).right()
        } else {
            val problem = DocumentProblem(name, "name", "is \"${body.name}\"")
            Either.Left(nonEmptyListOf(problem))
        }
    }

/** Takes [section] into force, alone or with those that wait, or lets it wait. */
internal fun DocumentSnapshot.offer(section: HeldSection): Offered {
    val held = held(section.name)?.version ?: 0
    if (section.version <= held) return Offered(this, OfferResult.Stale(held))
    val candidates = waiting.put(section.name, section)
    val problems = problemsOf(inForce.putAll(candidates))
    val next = if (problems.isEmpty()) {
        enforce(inForce.putAll(candidates), persistentMapOf())
    } else {
        enforceSome(candidates)
    }
    val result = if (next.inForce[section.name] === section) {
        OfferResult.Applied(next.versions)
    } else {
        OfferResult.Waiting(checkNotNull(problems.toNonEmptyListOrNull()))
    }
    return Offered(next, result)
}

/** Takes single sections into force for as long as one fits. */
private fun DocumentSnapshot.enforceSome(
    candidates: PersistentMap<String, HeldSection>,
): DocumentSnapshot {
    var chosen = inForce
    var rest = candidates
    while (true) {
        val fitting = rest.values.firstOrNull {
            problemsOf(chosen.put(it.name, it)).isEmpty()
        } ?: break
        chosen = chosen.put(fitting.name, fitting)
        rest = rest.remove(fitting.name)
    }
    return enforce(chosen, rest)
}

private fun DocumentSnapshot.enforce(
    sections: PersistentMap<String, HeldSection>,
    rest: PersistentMap<String, HeldSection>,
): DocumentSnapshot {
    val view = if (sections === inForce) view else DocumentView.of(bodies(sections))
    return DocumentSnapshot(view, sections, rest)
}

private fun problemsOf(sections: Map<String, HeldSection>): List<DocumentProblem> =
    DocumentChecker.check(bodies(sections))

private fun bodies(sections: Map<String, HeldSection>): List<SectionBody> =
    sections.values.mapNotNull { it.body }
