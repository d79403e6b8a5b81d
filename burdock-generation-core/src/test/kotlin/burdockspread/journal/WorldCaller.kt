package burdockspread.journal

import burdockspread.error.Refusal
import burdockspread.generation.ChainedEngine
import burdockspread.generation.TokenLog
import burdockspread.id.GenerationId
import kotlinx.collections.immutable.toPersistentList
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** A caller that keeps what it got, loses its connection and returns through any host. */
class WorldCaller(
    private val world: World,
    private val request: RequestKey,
    private val streaming: Boolean,
    private val acceptsRestart: Boolean,
) {
    private val answer = ArrayList<String>()
    private var generation: GenerationId? = null
    private var last: EventId? = null
    private var entry: WorldHost? = null
    private var run: Run? = null
    private var replay: JournalCopy? = null
    var whole = false
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
        if (open.journal.superseded) return lose()
        val released = open.log.slice(0, open.journal.released)
        take(open.key, open.lineage, released, open.finishReleased)
    }

    private fun take(key: CopyKey, lineage: Lineage, released: List<String>, end: Boolean) {
        assertEquals(generation ?: key.generation, key.generation, "another generation")
        generation = key.generation
        answer += released.drop(answer.size)
        last = EventId(key.generation, lineage.current, answer.size)
        ChainedEngine.assertChained(answer, "caller of $request")
        if (end) {
            whole = true
            assertEquals(World.LENGTH, answer.size)
        }
    }

    fun comeBack(via: WorldHost) {
        if (via.paused) return
        entry = via
        val caller = ReturningCaller(request, last.takeIf { streaming }, acceptsRestart)
        val found = search(caller, via)
        // Others act between the search and what follows from it.
        repeat(world.random.nextInt(3)) { world.step() }
        act(caller, via, decideReturn(caller, via.place.host, found))
    }

    private fun search(caller: ReturningCaller, via: WorldHost): List<Sighting> {
        val found = ArrayList<Sighting>()
        (world.candidates(request) + via).distinct().forEach { found += ask(via, it) }
        repeat(2) {
            ownersToAsk(caller, found).forEach { found += ask(via, world.host(it)) }
        }
        return found
    }

    private fun ask(via: WorldHost, asked: WorldHost): List<Sighting> {
        val id = asked.place.host
        if (!world.answers(via, asked)) return listOf(Sighting.Unreachable(id))
        val running = asked.runs.filter { it.key.request == request && !it.journal.superseded }
        val copies = asked.copies.find(request).map { Sighting.Copy(id, it) }
        return (running.map { it.sighting() } + copies).ifEmpty { listOf(Sighting.Nothing(id)) }
    }

    private fun act(caller: ReturningCaller, via: WorldHost, decision: ReturnDecision) {
        when (decision) {
            is ReturnDecision.AttachHere -> attach(via, decision.key, caller)
            is ReturnDecision.AttachToOwner ->
                attach(world.host(decision.host), decision.key, caller)
            is ReturnDecision.Replay -> replay = world.host(decision.holder)
                .takeIf { world.answers(via, it) }?.copies?.read(decision.key)
            is ReturnDecision.TakeOver -> takeOver(caller, via, decision)
            is ReturnDecision.Begin -> run = world.begin(via, request)
            is ReturnDecision.Restart -> restart(via)
            is ReturnDecision.Refuse -> refusal = decision.refusal
        }
    }

    /** The host that runs the generation checks again: it may have changed since the search. */
    private fun attach(owner: WorldHost, key: CopyKey, caller: ReturningCaller) {
        if (!world.answers(entry!!, owner)) return
        run = owner.runs.lastOrNull {
            it.key == key && !it.journal.superseded && caller.fits(key, it.lineage, it.log.size)
        }
    }

    private fun takeOver(
        caller: ReturningCaller,
        via: WorldHost,
        decision: ReturnDecision.TakeOver,
    ) {
        val taker = BranchId(decision.epoch, via.place.host, world.nonce())
        val claims = decision.holders.map { world.host(it) }.filter { world.answers(via, it) }
            .map { it.copies.claim(decision.key, taker) }
        repeat(world.random.nextInt(3)) { world.step() }
        when (val result = resolveTakeover(caller, taker, claims)) {
            is Takeover.Continue -> {
                resumes++
                val log = TokenLog(result.copy.tokens.toPersistentList())
                run = world.run(via, decision.key, result.lineage, log)
            }
            is Takeover.AttachToOwner -> attach(world.host(result.host), decision.key, caller)
            is Takeover.Otherwise -> act(caller, via, result.decision)
        }
    }

    private fun restart(via: WorldHost) {
        val old = generation
        restarts++
        forget()
        val fresh = world.begin(via, request)
        assertNotEquals(old, fresh.key.generation)
        run = fresh
    }

    private fun forget() {
        answer.clear()
        generation = null
        last = null
    }
}
