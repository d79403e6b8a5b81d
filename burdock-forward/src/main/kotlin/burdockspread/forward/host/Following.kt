/** Keeps a host up to date, by its own watches or by a relay of its failure domain. */
package burdockspread.forward.host

import burdockspread.forward.news.HostNews
import burdockspread.forward.news.PeerNews
import burdockspread.forward.relay.RelayFollowing
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.store.RelaySelector
import burdockspread.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Carries out what [RelayFollowing] decides. All on the control loop.
 *
 * A relay that the store turns away or does not reach is behind without a word from the store for
 * up to a watch's wait; so relays also ask each other across failure domains.
 *
 * @param watch follows the store until it is cancelled.
 */
internal class Following(
    private val self: HostId,
    private val domain: FailureDomainId,
    private val news: HostNews,
    private val peers: PeerNews,
    private val clock: TimeSource,
    private val scope: CoroutineScope,
    private val watch: suspend () -> Unit,
) {
    private val choice = RelayFollowing(self)
    private val random = Random(self.value.hashCode())
    private var hosts = emptyMap<HostId, ListedHost>()
    private var watching: Job? = null

    /** Takes the hosts that the store lists. */
    fun onListed(listed: List<ListedHost>) {
        hosts = listed.associateBy { it.id }
        choice.onHosts(listed.filter { it.failureDomain == domain }.map { it.id })
        peers.onListed(listed.map { it.peerAddress })
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        startWatching("no relay is known yet")
        while (true) {
            val relays = choice.relays(clock.now()).mapNotNull { hosts[it] }
            if (relays.isEmpty()) {
                startWatching("this host is a relay")
                askRelayElsewhere()
                delay(EXCHANGE)
            } else if (!follow(relays)) {
                startWatching("no relay of the failure domain is up to date")
                delay(RETRY)
            }
        }
    }

    /** Follows the first of [relays] that is up to date for one question; false if none is. */
    private suspend fun follow(relays: List<ListedHost>): Boolean = relays.any { relay ->
        val followed = peers.follow(relay.peerAddress)
        if (followed) {
            choice.onFollowed(relay.id)
            stopWatching(relay)
        } else {
            choice.onFailed(relay.id, clock.now())
        }
        followed
    }

    private suspend fun askRelayElsewhere() {
        val others = hosts.values.filter { it.failureDomain != domain }
            .groupBy { it.failureDomain }.values
        val domain = others.randomOrNull(random) ?: return
        val relay = RelaySelector.ranked(domain.map { it.id }).first()
        hosts[relay]?.let { peers.ask(it.peerAddress) }
    }

    private fun startWatching(reason: String) {
        if (watching != null) return
        log.info("the host watches the store: {}", reason)
        watching = scope.launch { watch() }
    }

    private fun stopWatching(relay: ListedHost) {
        val job = watching ?: return
        log.info("the host follows {} of its failure domain", relay.id)
        job.cancel()
        watching = null
        news.onDetached()
    }

    private companion object {
        /** A relay that is cut from the store alone hears of an edit within about this time. */
        val EXCHANGE = 500.milliseconds
        val RETRY = 500.milliseconds
        val log = LogManager.getLogger(Following::class.java)
    }
}
