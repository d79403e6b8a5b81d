/** Gossip between entry hosts. */
package burdockspread.peer

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.GossipCore
import burdockspread.spread.GossipEffect
import burdockspread.spread.GossipSettings
import burdockspread.spread.GossipStats
import burdockspread.spread.Peer
import burdockspread.time.TimeSource
import burdockspread.wire.spread.ExchangeReply
import burdockspread.wire.spread.ExchangeRequest
import burdockspread.wire.spread.PushReply
import burdockspread.wire.spread.PushRequest
import burdockspread.wire.spread.SpreadPeerGrpcKt
import io.grpc.Status
import io.grpc.StatusException
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Listener for gossip events. Called from one thread at a time. */
internal interface GossipListener {
    /** Called when entries from other hosts were applied. */
    fun onEntriesApplied(entries: List<Entry>)

    /** Called when [host] responded. */
    fun onPeerResponded(host: HostId)

    /** Called when [host] was unreachable ([isRefused]) or did not respond. */
    fun onPeerFailed(host: HostId, isRefused: Boolean)
}

/**
 * Drives the gossip core on one thread at a time, executes its effects and serves the calls of
 * other hosts.
 */
internal class GossipRunner(
    private val scope: CoroutineScope,
    private val settings: GossipSettings,
    private val channels: PeerChannels,
    private val addressOf: (HostId) -> String?,
    private val time: TimeSource,
    private val timeout: Duration,
) : SpreadPeerGrpcKt.SpreadPeerCoroutineImplBase() {
    private val core = GossipCore.factory.create(settings)

    /** This host. */
    val self: HostId get() = settings.self.host

    /** Dispatcher that serialises the calls of the core and all work that must not overlap them. */
    val thread = Dispatchers.Default.limitedParallelism(1)

    /** Receiver of gossip events; must be set before [run]. */
    lateinit var listener: GossipListener

    /** Runs gossip rounds until cancelled. */
    suspend fun run() {
        while (true) {
            withContext(thread) { perform(core.tick(time.now())) }
            delay(settings.roundPeriod)
        }
    }

    /** Publishes [entry] from this host. */
    fun put(entry: Entry) {
        scope.launch(thread) { perform(core.putLocal(entry, time.now())) }
    }

    /** Sets the hosts to gossip with. Must be called on [thread]. */
    fun setPeers(peers: List<Peer>): Unit = core.onPeers(peers.toImmutableList())

    /** Returns statistics of the core. */
    suspend fun stats(): GossipStats = withContext(thread) { core.stats() }

    override suspend fun exchange(request: ExchangeRequest): ExchangeReply = withContext(thread) {
        val handled = core.onExchange(request.toExchangeRequest(), time.now())
        perform(handled.effects)
        handled.reply.toMessage()
    }

    override suspend fun push(request: PushRequest): PushReply = withContext(thread) {
        perform(core.onPush(request.toPushRequest(), time.now()))
        PushReply.getDefaultInstance()
    }

    private fun perform(effects: List<GossipEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is GossipEffect.SendExchange -> scope.launch(thread) { send(effect) }
                is GossipEffect.SendPush -> scope.launch(thread) { send(effect) }
                is GossipEffect.Applied -> listener.onEntriesApplied(effect.entries)
            }
        }
    }

    private suspend fun send(effect: GossipEffect.SendExchange) {
        val reply = callPeer(effect.to) { it.exchange(effect.request.toMessage()) } ?: return
        perform(core.onReply(effect.to, effect.request, reply.toExchangeReply(), time.now()))
    }

    private suspend fun send(effect: GossipEffect.SendPush) {
        callPeer(effect.to) { it.push(effect.request.toMessage()) }
    }

    private suspend fun <R : Any> callPeer(
        host: HostId,
        call: suspend (SpreadPeerGrpcKt.SpreadPeerCoroutineStub) -> R,
    ): R? {
        val address = addressOf(host) ?: return null
        val stub =
            SpreadPeerGrpcKt
                .SpreadPeerCoroutineStub(channels.to(address))
                .withDeadlineAfter(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return try {
            call(stub).also { listener.onPeerResponded(host) }
        } catch (e: StatusException) {
            core.onFailure(host, time.now())
            listener.onPeerFailed(host, isRefused = e.status.code == Status.Code.UNAVAILABLE)
            null
        }
    }
}
