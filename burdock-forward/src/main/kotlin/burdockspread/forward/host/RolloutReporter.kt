/** Reports of rollouts to the store, which moves them on for all hosts. */
package burdockspread.forward.host

import burdockspread.forward.rollout.RolloutOrder
import burdockspread.id.HostId
import burdockspread.store.KindListener
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.RelaySelector
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.time.TimeSource
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes the states that hosts propose. Every host may write, in the order of a ranking and each a
 * second after the one before it, so that one write usually suffices and any host may go at any
 * moment. No lease is needed: a write holds only for the revision that its host has read, and a
 * state that is final stays.
 *
 * A write whose answer is lost is read back by the next attempt. Confined to the control loop.
 *
 * @param onOrder called with the state that the store holds.
 */
internal class RolloutReporter(
    private val self: HostId,
    private val deployment: Deployment,
    private val store: ObjectStore,
    private val clock: TimeSource,
    private val rollouts: RolloutHost,
    private val log: RolloutLog,
    private val onOrder: (RolloutOrder) -> Unit,
) {
    private var ranking = listOf(self)

    /** Sets the hosts that the store lists. */
    fun onHosts(hosts: Collection<HostId>) {
        ranking = RelaySelector.ranked(hosts + self)
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_INTERVAL)
            val wait = RANK_DELAY * ranking.indexOf(self).coerceAtMost(MAX_RANK)
            rollouts.proposals.filter { clock.now() - it.since >= wait }.forEach { report(it) }
        }
    }

    private suspend fun report(proposal: RolloutProposal) {
        val key = ObjectKey(deployment.rolloutKind, proposal.order.service.value)
        val read = store.get(key)
        val found = (read as? ReadResult.Found)?.value
        val current = found?.let { deployment.rollout(it, clock.now()) }
        if (found == null || current == null) return log.onReported(proposal, "not read: $read")
        onOrder(current)
        if (current.version != proposal.order.version || current.state >= proposal.state) return
        val status = deployment.rolloutStatus(current, proposal.state)
        val written = store.putStatus(key, status, WriteCondition.AtVersion(found.version))
        log.onReported(proposal, written.toString())
    }

    /** Returns the listener that reads the orders from the store's lists and watches. */
    fun listener(): KindListener = object : KindListener {
        override fun onListed(kind: String, listed: ListResult.Listed): Unit =
            listed.objects.forEach(::read)

        override fun onPartlyListed(kind: String, listed: ListResult.Partial): Unit =
            listed.objects.forEach(::read)

        override fun onEvent(kind: String, event: WatchEvent) {
            // An order that was deleted stays as it is: nothing says what its targets do now.
            if (event is WatchEvent.Put) read(event.value)
        }

        override fun onWatchEnded(kind: String, reason: String): Unit = Unit

        override fun onUnavailable(kind: String, reason: String): Unit = Unit
    }

    private fun read(stored: StoredObject) {
        deployment.rollout(stored, clock.now())?.let(onOrder)
    }

    companion object {
        /** Wait of a watch of orders, which a new order ends at once. */
        val WATCH_WAIT: Duration = 3.seconds
        private val CHECK_INTERVAL = 250.milliseconds

        /** The store's answer and its way to the hosts take less. */
        private val RANK_DELAY = 1.seconds

        /** Hosts behind it write when it does; that many are rarely cut off together. */
        private const val MAX_RANK = 5
    }
}
