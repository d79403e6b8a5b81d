/** Tells observers what happens to the document of a host. */
package burdockspread.document

/** Observes a [DocumentReplica]. Calls come on the thread that brought the section. */
public interface DocumentListener {
    /** Sections came into force: [after] replaces [before]. */
    public fun onApplied(before: DocumentSnapshot, after: DocumentSnapshot) {}

    public companion object {
        /** Observes nothing. */
        public val NONE: DocumentListener = object : DocumentListener {}
    }
}
