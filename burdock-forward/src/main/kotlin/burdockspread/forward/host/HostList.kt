/** Registration and discovery of hosts through the store. */
package burdockspread.forward.host

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.net.isIpv4Endpoint
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import burdockspread.store.ResolvingStore
import burdockspread.store.StoredObject
import burdockspread.store.WriteCondition
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Registers this host under [name] and periodically lists the others for [onListed]. Lost hosts
 * stay listed; the only cost is a failed request of a peer now and then.
 */
internal class HostList(
    private val name: String,
    private val domain: String,
    private val address: String,
    private val store: ObjectStore,
    private val onListed: (List<ListedHost>) -> Unit,
) {
    private val resolvingStore = ResolvingStore(store)
    private val key = ObjectKey(KIND, name)
    private var hosts = emptyList<ListedHost>()
    private val value = "{\"address\":\"$address\",\"failureDomain\":\"$domain\"}"

    /** Runs until cancelled. */
    suspend fun run() {
        while (!register()) delay(RETRY_DELAY)
        list()
        delay(FIRST_INTERVAL)
        while (true) {
            list()
            delay(LIST_INTERVAL)
        }
    }

    private suspend fun register(): Boolean {
        val condition = when (val read = store.get(key)) {
            is ReadResult.Unavailable -> return false
            is ReadResult.Missing -> WriteCondition.Absent
            is ReadResult.Found -> {
                if (read.value.value == value) return true
                WriteCondition.AtVersion(read.value.version)
            }
        }
        val written = resolvingStore.put(key, value, condition, "$name-$address")
        if (written !is ResolvedWrite.Written) {
            log.warn(
                "registration of the host failed, retrying: {}",
                written,
            )
        }
        return written is ResolvedWrite.Written
    }

    private suspend fun list() {
        when (val listed = store.listCached(KIND)) {
            is ListResult.Listed ->
                hosts = listed.objects.mapNotNull(::host) +
                    hosts.filter { it.id.value in listed.unread }
            is ListResult.Partial -> {
                log.warn("some hosts were not listed, keeping those known: {}", listed.reason)
                hosts = (listed.objects.mapNotNull(::host) + hosts).distinctBy { it.id }
            }
            is ListResult.Unavailable -> {
                log.warn("list of the hosts failed, keeping the last one: {}", listed)
                return
            }
        }
        onListed(hosts)
    }

    private fun host(stored: StoredObject): ListedHost? {
        val peer = ADDRESS.find(stored.value)?.groupValues?.get(1)?.takeIf(::isIpv4Endpoint)
            ?: return null
        val where = DOMAIN.find(stored.value)?.groupValues?.get(1).orEmpty()
        return ListedHost(HostId(stored.key.name), FailureDomainId(where), peer)
    }

    private companion object {
        const val KIND = "forward-hosts"
        val ADDRESS = Regex("\"address\"\\s*:\\s*\"([0-9.:]+)\"")
        val DOMAIN = Regex("\"failureDomain\"\\s*:\\s*\"([^\"]+)\"")
        val RETRY_DELAY: Duration = 3.seconds

        /** Hosts that start together have registered by then. */
        val FIRST_INTERVAL: Duration = 4.seconds

        /** Peers are only needed while the store is down; a list of half a minute ago is enough. */
        val LIST_INTERVAL: Duration = 30.seconds
        val log = LogManager.getLogger(HostList::class.java)
    }
}

/** A registered host of the system; [peerAddress] is an IP:port. */
internal data class ListedHost(
    val id: HostId,
    val failureDomain: FailureDomainId,
    val peerAddress: String,
)
