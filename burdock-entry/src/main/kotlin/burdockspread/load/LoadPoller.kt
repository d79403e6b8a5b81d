/** Polling of the load of targets. */
package burdockspread.load

import burdockspread.document.Target
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.pool.TargetObserver
import burdockspread.target.engine.EngineLoad
import burdockspread.target.engine.EngineLoadClient
import burdockspread.target.engine.LoadResult
import burdockspread.time.TimeSource
import com.google.common.hash.Hashing
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Source of a poller's targets and receiver of the loads that it reads. */
internal interface LoadPollerDelegate {
    /** Returns the engines of this host's failure domain. */
    fun targets(): List<Target>

    /** Returns the live hosts of this host's failure domain, including this one. */
    fun hosts(): List<HostId>

    /** Records the load of [target] and sends it to the other hosts. */
    fun publish(target: TargetId, load: TargetLoad)
}

/**
 * Polls the load of this host's share of the targets in its failure domain. Rendezvous hashing
 * assigns each target to one host.
 */
internal class LoadPoller(
    private val self: HostId,
    private val delegate: LoadPollerDelegate,
    private val client: EngineLoadClient,
    private val observer: TargetObserver,
    private val time: TimeSource,
) {
    /** Polls once a second until cancelled. */
    suspend fun run() {
        while (true) {
            coroutineScope {
                val hosts = delegate.hosts()
                delegate.targets()
                    .filter { isAssignedHere(it.id, hosts) }
                    .forEach { launch { poll(it) } }
            }
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun poll(target: Target) {
        when (val result = client.load(target.address)) {
            is LoadResult.Load -> report(target.id, result.load)
            is LoadResult.Refused -> observer.onConnectionRefused(target.id)
            is LoadResult.Unavailable -> Unit
        }
    }

    private fun report(target: TargetId, load: EngineLoad) {
        observer.onResponse(target)
        delegate.publish(target, TargetLoad(load.running, load.waiting, time.now()))
    }

    private fun isAssignedHere(target: TargetId, hosts: List<HostId>): Boolean =
        hosts.maxByOrNull { weight(target, it) } == self

    private fun weight(target: TargetId, host: HostId): Long =
        HASH_FUNCTION.hashUnencodedChars("$target/$host").asLong()

    private companion object {
        val POLL_INTERVAL = 1.seconds
        val HASH_FUNCTION = Hashing.murmur3_128()
    }
}
