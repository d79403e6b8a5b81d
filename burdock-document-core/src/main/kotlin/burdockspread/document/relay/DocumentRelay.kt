/** Relay of the document from the store to a host and its peers. */
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
 * Watches the store on a host selected by [RelaySelector], and passes every accepted section to
 * [replica] and [publisher].
 *
 * After an outage, reads the manifest and only the contents that the host lacks, one at a time and
 * after a jittered delay that differs between hosts, so that the relays do not overload the store.
 */
public class DocumentRelay(
    private val self: HostId,
    private val store: ObjectStore,
    private val replica: DocumentReplica,
    private val publisher: SectionPublisher,
) {
    /** Runs until cancelled. */
    public suspend fun run() {
        val core = RelayCore()
        var failures = 0
        while (true) {
            val version = synchronise(core)
            val events = if (version == null) 0 else watch(core, version)
            failures = if (events == 0) failures + 1 else 0
            delay(RelaySelector.jitter(self, failures, window(failures)))
        }
    }

    /** Reads what the host lacks. Returns the version to watch from, or null on failure. */
    private suspend fun synchronise(core: RelayCore): Long? {
        replica.versions().inForce.forEach { (section, version) -> core.onKnown(section, version) }
        return when (val read = store.get(StoredDocument.MANIFEST)) {
            is ReadResult.Unavailable -> null
            is ReadResult.Missing -> 0
            is ReadResult.Found -> {
                val complete = execute(core, core.onRead(read.value))
                read.value.version.takeIf { complete }
            }
        }
    }

    /** Returns the number of events; a watch that ends without any counts as a failure. */
    private suspend fun watch(core: RelayCore, version: Long): Int =
        store.watch(StoredDocument.KIND, version)
            .takeWhile { it !is WatchEvent.Ended }
            .takeWhile { execute(core, core.onEvent(it)) }
            .count()

    /** Returns whether all reads succeeded. */
    private suspend fun execute(core: RelayCore, effects: List<RelayEffect>): Boolean {
        for (effect in effects) {
            when (effect) {
                is RelayEffect.Publish -> {
                    replica.offer(effect.entry)
                    publisher.publish(effect.entry)
                }
                is RelayEffect.Fetch -> {
                    val content = fetch(effect) ?: return false
                    if (!execute(core, core.onRead(content))) return false
                }
            }
        }
        return true
    }

    private suspend fun fetch(effect: RelayEffect.Fetch): StoredObject? =
        (store.get(effect.key) as? ReadResult.Found)?.value

    private fun window(failures: Int): Duration =
        minOf(INITIAL_WINDOW * (1 shl minOf(failures, MAX_DOUBLINGS)), MAX_WINDOW)

    private companion object {
        const val MAX_DOUBLINGS = 8
        val INITIAL_WINDOW = 500.milliseconds
        val MAX_WINDOW = 4.seconds
    }
}
