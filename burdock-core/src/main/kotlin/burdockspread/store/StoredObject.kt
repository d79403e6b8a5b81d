/** Objects returned by the platform's object API. */
package burdockspread.store

/**
 * One object with the version of its last write.
 *
 * @property version increases with every write; versions are comparable across all objects of a
 *   store.
 * @property writeId id that the writer gave to its write, by which a lost answer is resolved.
 * @property value JSON text, at most [ObjectStore.MAX_VALUE_BYTES] in UTF-8.
 * @property created when the object was created, in the store's own unit, or 0 if unknown; it
 *   differs if the object was deleted and created anew.
 */
public data class StoredObject(
    public val key: ObjectKey,
    public val version: Long,
    public val writeId: String,
    public val value: String,
    public val created: Long = 0,
    public val status: String = "",
)
