/** Relaying of document changes from the store while this host is a relay. */
package burdockspread.entry

import burdockspread.document.DocumentReplica
import burdockspread.document.relay.DocumentRelay
import burdockspread.id.HostId
import burdockspread.store.ObjectStore
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Starts and stops this host's relay as the live hosts of its failure domain change. */
internal class RelaySupervisor(
    private val host: HostId,
    private val store: ObjectStore,
    private val document: DocumentReplica,
    private val peers: EntryPeers,
) {
    /** Checks the membership periodically until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        var relay: Job? = null
        while (true) {
            val shouldRun = peers.isRelay()
            if (shouldRun && relay == null) relay = launch { runRelay() }
            if (!shouldRun && relay != null) {
                relay.cancelAndJoin()
                relay = null
            }
            delay(CHECK_INTERVAL)
        }
    }

    private suspend fun runRelay(): Unit = DocumentRelay(host, store, document, peers).run()

    private companion object {
        val CHECK_INTERVAL = 1.seconds
    }
}
