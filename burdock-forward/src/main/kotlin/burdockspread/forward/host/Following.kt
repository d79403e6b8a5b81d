/** Keeps a host up to date, by its own watches or through a relay of its failure domain. */
package burdockspread.forward.host

import burdockspread.forward.news.HostViewUpdater
import burdockspread.forward.news.PeerNews
import burdockspread.forward.relay.RelayAssignment
import burdockspread.forward.relay.UpdateTiming
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.store.RelaySelector
import burdockspread.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Applies the decisions of [RelayAssignment]. Confined to the control loop.
 *
 * A relay that the store rejects or cannot reach may be stale for up to the wait of one watch
 * without noticing. Relays therefore also pull from each other across failure domains, and a host
 * whose view gets too old watches the store itself without waiting for its relay.
 *
 * @param watch follows the store until cancelled.
 */
internal class Following(
    private val self: HostId,
    private val domain: FailureDomainId,
    private val viewUpdater: HostViewUpdater,
    private val peers: PeerNews,
    private val clock: TimeSource,
    private val scope: CoroutineScope,
    private val timing: UpdateTiming = UpdateTiming(),
    private val watch: suspend () -> Unit,
) {
    private val assignment = RelayAssignment(self)
    private val random = Random(self.value.hashCode())
    private var hosts = emptyMap<HostId, ListedHost>()
    private var watching: Job? = null

    /** The relay that keeps this host up to date, or null while it watches the store itself. */
    @Volatile
    var relay: HostId? = null
        private set

    /** Sets the hosts that the store lists. */
    fun onListed(listed: List<ListedHost>) {
        hosts = listed.associateBy { it.id }
        assignment.onHosts(listed.filter { it.failureDomain == domain }.map { it.id })
        peers.onListed(listed.map { it.peerAddress })
    }

    /** Runs until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        startWatching("no relay is known yet")
        launch { checkAge() }
        launch { announceCatalogs() }
        while (true) {
            val relays = assignment.relays(clock.now()).mapNotNull { hosts[it] }
            if (relays.isEmpty()) {
                startWatching("this host is a relay")
                pullFromOtherDomain()
                delay(EXCHANGE_INTERVAL)
            } else if (!follow(relays)) {
                startWatching("no relay of the failure domain is up to date")
                delay(RETRY_DELAY)
            }
        }
    }

    /** Tells the other relays, whose links may be slower, of what the store has brought. */
    private suspend fun announceCatalogs() {
        viewUpdater.catalogFromStore.filter { it > 0 }.collect { version ->
            val relays = hosts.values.groupBy { it.failureDomain }.values.flatMap { members ->
                RelaySelector.ranked(members.map { it.id }).take(RelaySelector.RELAYS_PER_DOMAIN)
            }
            val receivers = (relays - self).mapNotNull { hosts[it]?.peerAddress }
            scope.launch { peers.announce(version, receivers) }
        }
    }

    private suspend fun checkAge() {
        while (true) {
            delay(timing.ageCheckInterval)
            if (viewUpdater.age(clock.now()) > timing.maxAge) startWatching("the view is too old")
        }
    }

    /** Follows the first up-to-date relay of [relays] for one request; false if none is. */
    private suspend fun follow(relays: List<ListedHost>): Boolean = relays.any { relay ->
        val followed = peers.follow(relay.peerAddress)
        if (followed) {
            assignment.onFollowed(relay.id)
            stopWatching(relay)
        } else {
            log.info("relay {} does not keep this host up to date", relay.id)
            assignment.onFailed(relay.id, clock.now())
        }
        followed
    }

    private suspend fun pullFromOtherDomain() {
        val others = hosts.values.filter { it.failureDomain != domain }
            .groupBy { it.failureDomain }.values
        val domain = others.randomOrNull(random) ?: return
        val relay = RelaySelector.ranked(domain.map { it.id }).first()
        hosts[relay]?.let { peers.pull(it.peerAddress) }
    }

    private fun startWatching(reason: String) {
        if (watching?.isActive == true) return
        relay = null
        log.info("watching the store: {}", reason)
        watching = scope.launch { watch() }
    }

    private fun stopWatching(followed: ListedHost) {
        relay = followed.id
        val job = watching ?: return
        log.info("following relay {} of the failure domain", followed.id)
        job.cancel()
        watching = null
        viewUpdater.onDetached()
    }

    private companion object {
        /** A relay that has lost only the store receives an edit within about this time. */
        val EXCHANGE_INTERVAL = 500.milliseconds
        val RETRY_DELAY = 500.milliseconds
        val log = LogManager.getLogger(Following::class.java)
    }
}
