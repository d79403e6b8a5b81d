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
    val problems = problemsOf(inForce, candidates.values)
    val next = if (problems.isEmpty()) {
        enforce(candidates.values, persistentMapOf())
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
    val chosen = ArrayList<HeldSection>()
    var rest = candidates
    while (true) {
        val fitting = rest.values.firstOrNull { problemsOf(inForce, chosen + it).isEmpty() }
            ?: break
        chosen += fitting
        rest = rest.remove(fitting.name)
    }
    return enforce(chosen, rest)
}

private fun DocumentSnapshot.enforce(
    chosen: Collection<HeldSection>,
    rest: PersistentMap<String, HeldSection>,
): DocumentSnapshot {
    val old = chosen.mapNotNull { inForce[it.name]?.body }
    val next = view.replace(old, chosen.mapNotNull { it.body })
    return DocumentSnapshot(next, inForce.putAll(chosen.associateBy { it.name }), rest)
}

private fun problemsOf(
    inForce: PersistentMap<String, HeldSection>,
    changed: Collection<HeldSection>,
): List<DocumentProblem> {
    val after = inForce.putAll(changed.associateBy { it.name })
    return DocumentValidator.checkChange(bodies(inForce), bodies(after).values)
}

private fun bodies(sections: Map<String, HeldSection>): Map<String, SectionBody> =
    sections.values.mapNotNull { it.body }.associateBy { it.name }
