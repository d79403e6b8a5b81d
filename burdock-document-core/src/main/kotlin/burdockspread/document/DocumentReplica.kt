/** The replica of the document on one host. */
package burdockspread.document

import arrow.core.nonEmptyListOf
import java.util.concurrent.atomic.AtomicReference

/**
 * Replica of the document on one host. Thread-safe: a read is a single atomic load, and sections
 * may be offered from several threads.
 *
 * A section changes only to a higher version. A section that is inconsistent with the active ones
 * is kept as waiting, so that sections may arrive in any order and a combination that was never
 * accepted does not become active.
 */
public class DocumentReplica(private val listener: DocumentListener = DocumentListener.NONE) {
    private val current = AtomicReference(DocumentSnapshot.EMPTY)

    /** Returns the current state. */
    public fun snapshot(): DocumentSnapshot = current.get()

    /** Returns the active document. */
    public fun view(): DocumentView = current.get().view

    /** Returns the versions of all sections. */
    public fun versions(): SectionVersions = current.get().versions

    /** Offers [json] as [version] of [section]; an empty string marks a removed section. */
    public fun offer(section: String, version: Long, json: String): OfferResult {
        val known = current.get().latest(section)?.version ?: 0
        if (version <= known) return OfferResult.Stale(known)
        return parseSection(section, version, json).fold(
            { OfferResult.Invalid(it) },
            { offer(it) },
        )
    }

    /** Offers a section in the encoding that hosts exchange. */
    public fun offer(entry: VersionedSection): OfferResult {
        val known = current.get().latest(entry.section)?.version ?: 0
        if (entry.version <= known) return OfferResult.Stale(known)
        val json = entry.json()
        if (json != null) return offer(entry.section, entry.version, json)
        val problem = DocumentProblem(entry.section, "", "the value is not deflate-compressed JSON")
        return OfferResult.Invalid(nonEmptyListOf(problem))
    }

    private fun offer(section: ParsedSection): OfferResult {
        while (true) {
            val previous = current.get()
            val (next, result) = previous.offer(section)
            if (!current.compareAndSet(previous, next)) continue
            if (result is OfferResult.Applied) listener.onApplied(previous, next)
            return result
        }
    }
}
