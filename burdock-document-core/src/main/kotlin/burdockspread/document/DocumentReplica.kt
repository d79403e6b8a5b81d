/** Holds the document of one host and takes sections from whoever brings them. */
package burdockspread.document

import arrow.core.nonEmptyListOf
import java.util.concurrent.atomic.AtomicReference

/**
 * The document of one host. Reading is one atomic read; offers may come from several threads.
 *
 * Only a version higher than the held one changes a section. A section that does not fit the
 * others waits beside them, so that sections may arrive in any order and no combination that was
 * never accepted comes into force.
 */
public class DocumentReplica(private val listener: DocumentListener = DocumentListener.NONE) {
    private val current = AtomicReference(DocumentSnapshot.EMPTY)

    /** The present state. */
    public fun snapshot(): DocumentSnapshot = current.get()

    /** The document in force. */
    public fun view(): DocumentView = current.get().view

    /** Versions of all sections. */
    public fun versions(): SectionVersions = current.get().versions

    /** Takes [json] as [version] of [section]; an empty text says that it was removed. */
    public fun offer(section: String, version: Long, json: String): OfferResult {
        val held = current.get().held(section)?.version ?: 0
        if (version <= held) return OfferResult.Stale(held)
        return readHeld(section, version, json).fold(
            { OfferResult.Invalid(it) },
            { offer(it) },
        )
    }

    /** Takes a section as peers pass it on. */
    public fun offer(entry: VersionedSection): OfferResult {
        val held = current.get().held(entry.section)?.version ?: 0
        if (entry.version <= held) return OfferResult.Stale(held)
        val json = entry.json()
        if (json != null) return offer(entry.section, entry.version, json)
        val problem = DocumentProblem(entry.section, "", "the value is not compressed text")
        return OfferResult.Invalid(nonEmptyListOf(problem))
    }

    private fun offer(section: HeldSection): OfferResult {
        while (true) {
            val before = current.get()
            val (after, result) = before.offer(section)
            if (!current.compareAndSet(before, after)) continue
            if (result is OfferResult.Applied) listener.onApplied(before, after)
            return result
        }
    }
}
