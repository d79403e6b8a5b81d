/** Effects of the relay core. */
package burdockspread.document.relay

import burdockspread.document.VersionedSection
import burdockspread.store.ObjectKey

/** Action that [DocumentRelay] executes for [RelayCore]. */
public sealed interface RelayEffect {
    /** Offer the section to the replica of this host and publish it to peers. */
    public data class Publish(public val entry: VersionedSection) : RelayEffect

    /** Read a content that the manifest references and the watch did not deliver. */
    public data class Fetch(public val key: ObjectKey) : RelayEffect
}
