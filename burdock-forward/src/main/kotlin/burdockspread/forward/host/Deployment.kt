/** Interface to the platform on which the forwarder runs. */
package burdockspread.forward.host

import arrow.core.Either
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.http.Calls
import burdockspread.forward.http.ProtocolAdapter
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.forward.rollout.RolloutState
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Instant

/** Names, formats and store access of one platform. */
public interface Deployment {
    public val protocol: ProtocolAdapter

    /** Key of the object that holds the newest configuration. */
    public val catalogKey: ObjectKey

    /** Kind of the store entries with which targets register. */
    public val targetKind: String

    /** Kind of the operator's rollouts; each object is named by its service. */
    public val rolloutKind: String get() = "rollouts"

    /** Parses a rollout, which this host first saw at [now]; null if it orders nothing. */
    public fun rollout(stored: StoredObject, now: Instant): RolloutOrder? = null

    /** Returns the status that tells the operator that [order] has come to [state]. */
    public fun rolloutStatus(order: RolloutOrder, state: RolloutState): String =
        error("this deployment has no rollouts")

    /** Parses a configuration, or returns a one-line description of the error. */
    public fun catalog(text: String): Either<String, Catalog>

    /** Parses a target's entry; returns null if it does not describe a usable target. */
    public fun target(stored: StoredObject): TargetEntry?

    /**
     * Returns the store at [address], accessed through [calls], whose watches wait for at most
     * [watchWait] before they report that nothing has changed.
     */
    public fun store(address: String, calls: Calls, watchWait: Duration): ObjectStore
}
