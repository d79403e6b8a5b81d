/** Effects of the relay's decisions. */
package burdockspread.document.relay

import burdockspread.document.VersionedSection
import burdockspread.store.ObjectKey

/** What the shell of a relay has to do. */
public sealed interface RelayEffect {
    /** Take the section on this host and pass it on. */
    public data class Publish(public val entry: VersionedSection) : RelayEffect

    /** Read a content that the manifest names and the watch did not bring. */
    public data class Fetch(public val key: ObjectKey) : RelayEffect
}
