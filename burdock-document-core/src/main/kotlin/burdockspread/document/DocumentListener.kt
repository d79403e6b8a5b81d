/** Listener for changes of a document replica. */
package burdockspread.document

/** Observer of a [DocumentReplica], called on the thread that offered the section. */
public interface DocumentListener {
    /** Called after sections became active: [after] replaces [before]. */
    public fun onApplied(before: DocumentSnapshot, after: DocumentSnapshot) {}

    public companion object {
        /** A listener that does nothing. */
        public val NONE: DocumentListener = object : DocumentListener {}
    }
}
