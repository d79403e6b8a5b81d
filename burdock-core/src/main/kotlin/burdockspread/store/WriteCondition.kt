/** Conditions of writes to the platform's object API. */
package burdockspread.store

/** Precondition of a write. */
public sealed interface WriteCondition {
    /** No object has the key yet. */
    public data object Absent : WriteCondition

    /** The object's last write got this version. */
    public data class AtVersion(public val version: Long) : WriteCondition
}
