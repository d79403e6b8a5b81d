/** A caller in a random schedule. */
package burdockspread.bench.generation

import burdockspread.bench.generation.Weakening.NO_LINEAGE
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

/** A caller that keeps what it got, loses its connection and returns through any host. */
internal class SimCaller(
    private val world: SimCluster,
    private val request: RequestKey,
    private val streaming: Boolean,
    private val acceptsRestart: Boolean,
) {
    private val answer = ArrayList<String>()
    private var generation: GenerationId? = null
    private var last: EventId? = null
    private var entry: SimHost? = null
    private var run: SimRun? = null
    private var replay: JournalCopy? = null
    var whole = false

    /** Whether the answer ever held tokens of two continuations, or ended with a wrong length. */
    var mixed = false
    var refusal: Refusal? = null
    var restarts = 0
    var resumes = 0
    val ended get() = whole || refusal != null
    val attached get() = run != null || replay != null

    fun lose() {
        run = null
        replay = null
        if (!streaming) forget()
    }

    /** Reads what its connection gives now. */
    fun read() {
        replay?.let { return take(it.head.key, it.head.lineage, it.tokens, true) }
        val open = run ?: return
        val reachable = open in open.host.runs && world.answers(entry!!, open.host)
        if (!reachable) return
        if (open.journal.isSuperseded) return lose()
        val released = open.log.slice(0, open.readable(world.weakening))
        take(open.key, open.lineage, released, open.finishReleased)
    }

    private fun take(key: CopyKey, lineage: Lineage, released: List<String>, end: Boolean) {
        if (generation != null && generation != key.generation) mixed = true
        generation = key.generation
        answer += released.drop(answer.size)
        last = EventId(key.generation, lineage.current, answer.size)
        whole = end
        if (ChainedEngine.firstBreak(answer) != null) mixed = true
        if (whole && answer.size != SimCluster.LENGTH) mixed = true
    }

    fun comeBack(via: SimHost) {
        if (via.paused) return
        entry = via
        val known = ReconnectingCaller(request, last.takeIf { streaming }, acceptsRestart)
        val found = search(known, via)
        // Others act between the search and what follows from it.
        repeat(world.random.nextInt(3)) { world.step() }
        val caller = if (world.weakening == NO_LINEAGE) withoutBranch(known, found) else known
        act(caller, via, decideReconnect(caller, via.place.host, found))
    }

    /** What a caller would be if it named only the generation and the offset. */
    private fun withoutBranch(
        caller: ReconnectingCaller,
        found: List<LookupResult>,
    ): ReconnectingCaller {
        val last = caller.last ?: return caller
        val lineages = found.mapNotNull { sighting ->
            when (sighting) {
                is LookupResult.Running -> sighting.lineage
                is LookupResult.Copy -> sighting.head.lineage
                else -> null
            }
        }
        val latest = lineages.maxOfOrNull { it.current } ?: return caller
        return caller.copy(last = last.copy(branch = latest))
    }

    private fun search(caller: ReconnectingCaller, via: SimHost): List<LookupResult> {
        val found = ArrayList<LookupResult>()
        (world.candidates(request) + via).distinct().forEach { found += ask(via, it) }
        repeat(2) {
            ownersToQuery(caller, found).forEach { found += ask(via, world.host(it)) }
        }
        return found
    }

    private fun ask(via: SimHost, asked: SimHost): List<LookupResult> {
        val id = asked.place.host
        if (!world.answers(via, asked)) return listOf(LookupResult.Unreachable(id))
        val running = asked.runs.filter { it.key.request == request && !it.journal.isSuperseded }
        val copies = asked.copies.find(request).map { LookupResult.Copy(id, it) }
        return (running.map { it.sighting() } + copies)
            .ifEmpty { listOf(LookupResult.NotFound(id)) }
    }

    private fun act(caller: ReconnectingCaller, via: SimHost, decision: ReconnectDecision) {
        when (decision) {
            is ReconnectDecision.AttachHere -> attach(via, decision.key, caller)
            is ReconnectDecision.AttachToOwner ->
                attach(world.host(decision.host), decision.key, caller)
            is ReconnectDecision.Replay -> replay = world.host(decision.holder)
                .takeIf { world.answers(via, it) }?.copies?.read(decision.key)
            is ReconnectDecision.TakeOver -> takeOver(caller, via, decision)
            is ReconnectDecision.StartNew -> run = world.begin(via, request)
            is ReconnectDecision.Restart -> restart(via)
            is ReconnectDecision.Refuse -> refusal = decision.refusal
        }
    }

    /** The host that runs the generation checks again: it may have changed since the search. */
    private fun attach(owner: SimHost, key: CopyKey, caller: ReconnectingCaller) {
        if (!world.answers(entry!!, owner)) return
        run = owner.runs.lastOrNull {
            it.key == key &&
                !it.journal.isSuperseded &&
                decideReconnect(caller, owner.place.host, listOf(it.sighting())) is
                    ReconnectDecision.AttachHere
        }
    }

    private fun takeOver(
        caller: ReconnectingCaller,
        via: SimHost,
        decision: ReconnectDecision.TakeOver,
    ) {
        val taker = BranchId(decision.epoch, via.place.host, world.nonce())
        val claims = decision.holders.map { world.host(it) }.filter { world.answers(via, it) }
            .map { it.copies.claim(decision.key, taker) }
        repeat(world.random.nextInt(3)) { world.step() }
        when (val result = resolveTakeover(caller, taker, claims)) {
            is TakeoverResult.Continue -> {
                resumes++
                val log = TokenLog(result.copy.tokens)
                run = world.run(via, decision.key, result.lineage, log)
            }
            is TakeoverResult.AttachToOwner -> attach(world.host(result.host), decision.key, caller)
            is TakeoverResult.Fallback -> act(caller, via, result.decision)
        }
    }

    private fun restart(via: SimHost) {
        restarts++
        forget()
        run = world.begin(via, request)
    }

    private fun forget() {
        answer.clear()
        generation = null
        last = null
    }
}
