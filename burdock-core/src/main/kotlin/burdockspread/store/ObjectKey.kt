/** Names of objects in the platform's versioned object API. */
package burdockspread.store

/**
 * Name of one object.
 *
 * @property kind lower-case plural of the object's kind, for example `sections` or `leases`.
 * @property name unique within the kind; lower-case letters, digits, dots and hyphens.
 */
public data class ObjectKey(public val kind: String, public val name: String)
