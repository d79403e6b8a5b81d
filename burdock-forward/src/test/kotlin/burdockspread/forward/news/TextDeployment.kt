/** Deployment for tests of the updates. */
package burdockspread.forward.news

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.host.Deployment
import burdockspread.forward.http.Calls
import burdockspread.forward.http.ProtocolAdapter
import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.StoredObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Deployment whose configurations are a version number. The text of a target's entry ends with
 * `leaving` if it drains; `unreadable` describes no target.
 */
internal object TextDeployment : Deployment {
    override val protocol: ProtocolAdapter get() = error("unused")
    override val catalogKey = ObjectKey("settings", "newest")
    override val targetKind = "targets"

    override fun catalog(text: String): Either<String, Catalog> {
        val version = text.substringBefore(' ').toLongOrNull() ?: return "no number".left()
        val limits = CallerLimits(1, 1, 1.seconds, 1.seconds)
        return Catalog(
            version,
            persistentListOf(),
            persistentMapOf(),
            persistentListOf(),
            limits,
        ).right()
    }

    override fun target(stored: StoredObject): TargetEntry? {
        if (stored.value == "unreadable") return null
        val isDraining = stored.value.endsWith("leaving")
        val id = TargetId(stored.key.name)
        val domain = FailureDomainId("north")
        return TargetEntry(
            id,
            ServiceId("s"),
            "10.0.0.1:1",
            domain,
            slots = 1,
            isDraining = isDraining,
            startedAtMillis = 1,
            sequence = 1,
            storeVersion = stored.version,
        )
    }

    override fun store(address: String, calls: Calls, watchWait: Duration): ObjectStore =
        error("unused")
}
