/** Brings the document from the store to a host and its peers. */
package burdockspread.document.relay

import burdockspread.document.DocumentReplica
import burdockspread.document.SectionPublisher
import burdockspread.document.edit.StoredDocument
import burdockspread.id.HostId
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.RelaySelector
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.count
import kotlinx.coroutines.flow.takeWhile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Watches the store for one host that [RelaySelector] chose, and gives every section that comes
 * into force to [holder] and [sink].
 *
 * After an outage it reads the manifest and only those contents that the host does not hold, one
 * at a time and after a wait that differs between hosts, so that relays do not overrun the store.
 */
public class DocumentRelay(
    private val self: HostId,
    private val store: ObjectStore,
    private val holder: DocumentReplica,
    private val sink: SectionPublisher,
) {
    /** Runs until it is cancelled. */
    public suspend fun run() {
        val core = RelayCore()
        var failures = 0
        while (true) {
            val version = catchUp(core)
            val answers = if (version == null) 0 else watch(core, version)
            failures = if (answers == 0) failures + 1 else 0
            delay(RelaySelector.jitter(self, failures, window(failures)))
        }
    }

    /** Reads what the host lacks. Returns the version to watch from, or null in an outage. */
    private suspend fun catchUp(core: RelayCore): Long? {
        holder.versions().inForce.forEach { (section, version) -> core.onHeld(section, version) }
        return when (val read = store.get(StoredDocument.MANIFEST)) {
            is ReadResult.Unavailable -> null
            is ReadResult.Missing -> 0
            is ReadResult.Found -> {
                val complete = carryOut(core, core.onRead(read.value))
                read.value.version.takeIf { complete }
            }
        }
    }

    /** Returns how many events came: a watch that ends without one counts as a failure. */
    private suspend fun watch(core: RelayCore, version: Long): Int =
        store.watch(StoredDocument.KIND, version)
            .takeWhile { it !is WatchEvent.Ended }
            .takeWhile { carryOut(core, core.onEvent(it)) }
            .count()

    /** Returns whether all reads had an answer. */
    private suspend fun carryOut(core: RelayCore, effects: List<RelayEffect>): Boolean {
        for (effect in effects) {
            when (effect) {
                is RelayEffect.Publish -> {
                    holder.offer(effect.entry)
                    sink.publish(effect.entry)
                }
                is RelayEffect.Fetch -> {
                    val content = fetch(effect) ?: return false
                    if (!carryOut(core, core.onRead(content))) return false
                }
            }
        }
        return true
    }

    private suspend fun fetch(effect: RelayEffect.Fetch): StoredObject? =
        (store.get(effect.key) as? ReadResult.Found)?.value

    private fun window(failures: Int): Duration =
        minOf(FIRST_WINDOW * (1 shl minOf(failures, MAX_DOUBLINGS)), MAX_WINDOW)

    private companion object {
        const val MAX_DOUBLINGS = 8
        val FIRST_WINDOW = 500.milliseconds
        val MAX_WINDOW = 4.seconds
    }
}
