/** What the product needs to know of the platform that it runs on. */
package burdockspread.forward.host

import arrow.core.Either
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.http.Calls
import burdockspread.forward.http.Dialect
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.StoredObject

/** Names, formats and calls of one platform. */
public interface Deployment {
    public val dialect: Dialect

    /** Object that holds the newest configuration. */
    public val catalogKey: ObjectKey

    /** Kind of the entries by which targets register themselves. */
    public val targetKind: String

    /** Reads a configuration, or says in one line what is wrong with it. */
    public fun catalog(text: String): Either<String, Catalog>

    /** Reads a target's entry; null when it names no target to use. */
    public fun target(stored: StoredObject): TargetEntry?

    /** The store at [address], spoken to by [calls]. */
    public fun store(address: String, calls: Calls): ObjectStore
}
