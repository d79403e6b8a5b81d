/** A caller in a randomised reconnect schedule. */
package burdockspread.bench.generation

import burdockspread.bench.generation.OmittedRule.NO_LINEAGE
import burdockspread.error.Refusal
import burdockspread.fakes.engine.ChainedEngine
import burdockspread.generation.TokenLog
import burdockspread.id.GenerationId
import burdockspread.journal.BranchId
import burdockspread.journal.CopyKey
import burdockspread.journal.EventId
import burdockspread.journal.JournalCopy
import burdockspread.journal.Lineage
import burdockspread.journal.LookupResult
import burdockspread.journal.ReconnectDecision
import burdockspread.journal.ReconnectingCaller
import burdockspread.journal.RequestKey
import burdockspread.journal.TakeoverResult
import burdockspread.journal.decideReconnect
import burdockspread.journal.ownersToQuery
import burdockspread.journal.resolveTakeover

/** A caller that keeps received tokens, loses its connection and reconnects via any host. */
internal class SimCaller(
    private val cluster: SimCluster,
    private val request: RequestKey,
    private val streaming: Boolean,
    private val acceptsRestart: Boolean,
) {
    private val receivedTokens = ArrayList<String>()
    private var generation: GenerationId? = null
    private var last: EventId? = null
    private var entryHost: SimHost? = null
    private var run: SimRun? = null
    private var replay: JournalCopy? = null
    var isComplete = false

    /** Whether the output ever mixed tokens of two branches, or ended with a wrong length. */
    var mixed = false
    var refusal: Refusal? = null
    var restarts = 0
    var resumes = 0
    val isEnded get() = isComplete || refusal != null
    val isAttached get() = run != null || replay != null

    fun disconnect() {
        run = null
        replay = null
        if (!streaming) reset()
    }

    /** Reads the tokens that the current connection can deliver now. */
    fun read() {
        replay?.let { return receive(it.head.key, it.head.lineage, it.tokens, true) }
        val open = run ?: return
        val reachable = open in open.host.runs && cluster.canReach(entryHost!!, open.host)
        if (!reachable) return
        if (open.journal.isSuperseded) return disconnect()
        val released = open.log.slice(0, open.readable(cluster.omitted))
        receive(open.key, open.lineage, released, open.finishReleased)
    }

    private fun receive(key: CopyKey, lineage: Lineage, released: List<String>, end: Boolean) {
        if (generation != null && generation != key.generation) mixed = true
        generation = key.generation
        receivedTokens += released.drop(receivedTokens.size)
        last = EventId(key.generation, lineage.current, receivedTokens.size)
        isComplete = end
        if (ChainedEngine.firstChainBreak(receivedTokens) != null) mixed = true
        if (isComplete && receivedTokens.size != SimCluster.LENGTH) mixed = true
    }

    fun reconnect(via: SimHost) {
        if (via.paused) return
        entryHost = via
        val known = ReconnectingCaller(request, last.takeIf { streaming }, acceptsRestart)
        val results = lookUp(known, via)
        // Other participants make progress between the lookup and the decision based on it.
        repeat(cluster.random.nextInt(3)) { cluster.step() }
        val caller = if (cluster.omitted == NO_LINEAGE) withLatestBranch(known, results) else known
        execute(caller, via, decideReconnect(caller, via.location.host, results))
    }

    /** Returns [caller] as if its event id named only the generation and the offset. */
    private fun withLatestBranch(
        caller: ReconnectingCaller,
        results: List<LookupResult>,
    ): ReconnectingCaller {
        val last = caller.last ?: return caller
        val lineages = results.mapNotNull { lookupResult ->
            when (lookupResult) {
                is LookupResult.Running -> lookupResult.lineage
                is LookupResult.Copy -> lookupResult.head.lineage
                else -> null
            }
        }
        val latest = lineages.maxOfOrNull { it.current } ?: return caller
        return caller.copy(last = last.copy(branch = latest))
    }

    private fun lookUp(caller: ReconnectingCaller, via: SimHost): List<LookupResult> {
        val results = ArrayList<LookupResult>()
        (cluster.candidates(request) + via).distinct().forEach { results += query(via, it) }
        repeat(2) {
            ownersToQuery(caller, results).forEach { results += query(via, cluster.host(it)) }
        }
        return results
    }

    private fun query(via: SimHost, peer: SimHost): List<LookupResult> {
        val id = peer.location.host
        if (!cluster.canReach(via, peer)) return listOf(LookupResult.Unreachable(id))
        val running = peer.runs.filter { it.key.request == request && !it.journal.isSuperseded }
        val copies = peer.copies.find(request).map { LookupResult.Copy(id, it) }
        return (running.map { it.lookupResult() } + copies)
            .ifEmpty { listOf(LookupResult.NotFound(id)) }
    }

    private fun execute(caller: ReconnectingCaller, via: SimHost, decision: ReconnectDecision) {
        when (decision) {
            is ReconnectDecision.AttachHere -> attach(via, decision.key, caller)
            is ReconnectDecision.AttachToOwner ->
                attach(cluster.host(decision.host), decision.key, caller)
            is ReconnectDecision.Replay -> replay = cluster.host(decision.holder)
                .takeIf { cluster.canReach(via, it) }?.copies?.read(decision.key)
            is ReconnectDecision.TakeOver -> takeOver(caller, via, decision)
            is ReconnectDecision.StartNew -> run = cluster.startNew(via, request)
            is ReconnectDecision.Restart -> restart(via)
            is ReconnectDecision.Refuse -> refusal = decision.refusal
        }
    }

    /** Attaches to [owner], which decides anew: its state may have changed since the lookup. */
    private fun attach(owner: SimHost, key: CopyKey, caller: ReconnectingCaller) {
        if (!cluster.canReach(entryHost!!, owner)) return
        run = owner.runs.lastOrNull {
            it.key == key &&
                !it.journal.isSuperseded &&
                decideReconnect(caller, owner.location.host, listOf(it.lookupResult())) is
                    ReconnectDecision.AttachHere
        }
    }

    private fun takeOver(
        caller: ReconnectingCaller,
        via: SimHost,
        decision: ReconnectDecision.TakeOver,
    ) {
        val newOwner = BranchId(decision.epoch, via.location.host, cluster.nonce())
        val claims = decision.holders.map { cluster.host(it) }.filter { cluster.canReach(via, it) }
            .map { it.copies.claim(decision.key, newOwner) }
        repeat(cluster.random.nextInt(3)) { cluster.step() }
        when (val result = resolveTakeover(caller, newOwner, claims)) {
            is TakeoverResult.TakenOver -> {
                resumes++
                val log = TokenLog(result.copy.tokens)
                run = cluster.run(via, decision.key, result.lineage, log)
            }
            is TakeoverResult.AttachToOwner ->
                attach(cluster.host(result.host), decision.key, caller)
            is TakeoverResult.Fallback -> execute(caller, via, result.decision)
        }
    }

    private fun restart(via: SimHost) {
        restarts++
        reset()
        run = cluster.startNew(via, request)
    }

    private fun reset() {
        receivedTokens.clear()
        generation = null
        last = null
    }
}
