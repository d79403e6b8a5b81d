/** Events of a watch on the platform's object API. */
package burdockspread.store

/** One event of a watch. */
public sealed interface WatchEvent {
    /** An object was created or replaced. */
    public data class Put(public val value: StoredObject) : WatchEvent

    /** An object was deleted at [version]. */
    public data class Deleted(public val key: ObjectKey, public val version: Long) : WatchEvent

    /** Apart from the events before this one, nothing has changed up to [version]. */
    public data class Progress(public val version: Long) : WatchEvent

    /** The watch ended or its version is too old; list again. */
    public data class Ended(public val reason: String) : WatchEvent
}
