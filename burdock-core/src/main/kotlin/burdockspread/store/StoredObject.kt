/** Objects as the platform's object API returns them. */
package burdockspread.store

/**
 * One object with the version that its last write got.
 *
 * @property version rises with every write; versions of all objects of a store are comparable.
 * @property writeId name that the writer gave to its write, by which a lost answer is resolved.
 * @property value JSON text, at most [ObjectStore.MAX_VALUE_BYTES] in UTF-8.
 */
public data class StoredObject(
    public val key: ObjectKey,
    public val version: Long,
    public val writeId: String,
    public val value: String,
)
