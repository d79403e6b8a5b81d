/** Rate limits of organisations, shared between hosts. */
package burdockspread.peer

import burdockspread.document.DocumentView
import burdockspread.document.Organisation
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.limit.OrganisationLimit
import burdockspread.limit.OrganisationLimits
import burdockspread.limit.OutgoingShareMessage
import burdockspread.limit.ShareMembers
import burdockspread.time.TimeSource
import burdockspread.wire.limits.LimitPeerGrpcKt
import burdockspread.wire.limits.ShareEnvelope
import burdockspread.wire.limits.ShareReceipt
import io.grpc.StatusException
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Source of a [LimitRunner]'s view of the other hosts. */
internal interface PeerLookup {
    /** Returns the active document. */
    fun document(): DocumentView

    /** Returns the live hosts by failure domain. */
    fun liveHosts(): Map<FailureDomainId, List<HostId>>

    /** Returns IP:port of the peer port of [host], or null if it is unknown. */
    fun addressOf(host: HostId): String?
}

/** Exchanges limit shares with other hosts on one thread; [limits] is thread-safe. */
internal class LimitRunner(
    private val scope: CoroutineScope,
    private val self: HostId,
    domain: FailureDomainId,
    private val peers: PeerLookup,
    private val channels: PeerChannels,
    private val time: TimeSource,
    private val timeout: Duration,
) : LimitPeerGrpcKt.LimitPeerCoroutineImplBase() {
    private val thread = Dispatchers.Default.limitedParallelism(1)

    /** Limits to check requests against. */
    val limits: OrganisationLimits = OrganisationLimits(self, domain)

    /** Reports demand and renews shares until cancelled. */
    suspend fun run() {
        while (true) {
            withContext(thread) {
                val now = time.now()
                limits.onMembers(members(), now)
                deliver(limits.onTick(now))
            }
            delay(TICK_INTERVAL)
        }
    }

    /** Updates the limits from [document]. */
    fun onDocument(document: DocumentView) {
        val limitsById = document.organisations.associate { it.id to limitOf(it) }
        scope.launch(thread) {
            limits.onLimits(limitsById.toImmutableMap())
            limits.onMembers(members(), time.now())
        }
    }

    override suspend fun send(request: ShareEnvelope): ShareReceipt {
        val message = request.toShareMessage()
        if (message != null) {
            withContext(thread) {
                deliver(limits.onMessage(HostId(request.sender), message, time.now()))
            }
        }
        return ShareReceipt.getDefaultInstance()
    }

    private fun deliver(sends: List<OutgoingShareMessage>) {
        sends.forEach { send ->
            if (send.to == self) {
                deliver(limits.onMessage(self, send.message, time.now()))
            } else {
                scope.launch { transmit(send) }
            }
        }
    }

    private suspend fun transmit(send: OutgoingShareMessage) {
        val address = peers.addressOf(send.to) ?: return
        val stub =
            LimitPeerGrpcKt
                .LimitPeerCoroutineStub(channels.to(address))
                .withDeadlineAfter(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        try {
            stub.send(send.message.toMessage(self))
        } catch (e: StatusException) {
            return // A lost message only delays a share; the next tick sends again.
        }
    }

    private fun members(): ShareMembers {
        val document = peers.document()
        val domains = document.failureDomains.map { it.id }.sortedBy { it.value }
        val live = peers.liveHosts().mapValues { it.value.toImmutableList() }
        return ShareMembers(domains.toImmutableList(), document.hosts.size, live.toImmutableMap())
    }

    private fun limitOf(organisation: Organisation): OrganisationLimit {
        val limits = organisation.limits
        return OrganisationLimit(
            limits.requestsPerSecond ?: 0.0,
            limits.tokensPerSecond ?: 0.0,
            limits.concurrent ?: 0,
            limits.cutOffFloor,
        )
    }

    private companion object {
        val TICK_INTERVAL = 1.seconds
    }
}
