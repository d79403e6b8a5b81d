/** Hosts that die, pause and are cut off, for random schedules of returning callers. */
package burdockspread.bench.generation

import burdockspread.fakes.engine.ChainedEngine
import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import burdockspread.id.FailureDomainId
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.journal.BranchId
import burdockspread.journal.CopyKey
import burdockspread.journal.CopyLimits
import burdockspread.journal.CopyPlacement
import burdockspread.journal.CopyPolicy
import burdockspread.journal.HostLocation
import burdockspread.journal.JournalCopies
import burdockspread.journal.JournalEffect
import burdockspread.journal.JournalInput
import burdockspread.journal.Lineage
import burdockspread.journal.LookupResult
import burdockspread.journal.OwnerJournal
import burdockspread.journal.RequestKey
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A generation that runs on one host; its engine differs from every other run's. */
internal class SimRun(
    val host: SimHost,
    val key: CopyKey,
    val lineage: Lineage,
    val log: TokenLog,
    id: Int,
) {
    val engine = ChainedEngine(id, log.slice(0))
    var finish: FinishReason? = null
    var finishReleased = false
    val journal = OwnerJournal(key, lineage, log, "{}", SimCluster.START, SimCluster.POLICY)

    /** Number of tokens that a caller may read. */
    fun readable(weakening: Weakening): Int =
        if (weakening == Weakening.RELEASE_AT_ONCE) log.size else journal.released

    fun sighting() = LookupResult.Running(host.place.host, key, lineage, log.size, finish)
}

internal class SimHost(val place: HostLocation) {
    var copies = JournalCopies(CopyLimits(1_000_000))
    val runs = ArrayList<SimRun>()
    var paused = false

    /** The host is replaced by one of the same name that knows nothing. */
    fun replace() {
        copies = JournalCopies(CopyLimits(1_000_000))
        runs.clear()
        paused = false
    }
}

/** A rule of the core that a trial goes without. */
internal enum class Weakening { NONE, NO_LINEAGE, RELEASE_AT_ONCE }

/** Hosts in three domains, with messages that are late, lost by cuts, or wait for a paused host. */
internal class SimCluster(val random: Random, val weakening: Weakening) {
    val hosts = (0 until 6).map { SimHost(place(it)) }
    private val messages = ArrayList<Message>()
    private val order = CopyPlacement(hosts.map { it.place }, "r")
    private var ids = 0
    private var cut: FailureDomainId? = null
    var now = START

    private class Message(val from: SimHost, val to: SimHost, val deliver: () -> Unit)

    fun host(id: HostId) = hosts.first { it.place.host == id }

    fun linked(a: SimHost, b: SimHost) =
        a.place.domain == b.place.domain || a.place.domain != cut && b.place.domain != cut

    fun answers(asker: SimHost, asked: SimHost) = !asked.paused && linked(asker, asked)

    fun begin(host: SimHost, request: RequestKey): SimRun {
        val key = CopyKey(request, GenerationId("g${++ids}"))
        return run(host, key, Lineage.of(BranchId(1, host.place.host, nonce())), TokenLog())
    }

    fun run(host: SimHost, key: CopyKey, lineage: Lineage, log: TokenLog): SimRun {
        val run = SimRun(host, key, lineage, log, ++ids)
        host.runs += run
        val holders = order.holders(key.request, host.place.domain, 1)
        feed(run, JournalInput.HoldersChanged(holders))
        return run
    }

    fun nonce() = random.nextLong()

    fun candidates(request: RequestKey) = order.candidates(request, 1).map { host(it) }

    fun fault() {
        when (random.nextInt(9)) {
            0 -> hosts.random(random).replace()
            in 1..2 -> hosts.random(random).paused = true
            in 3..5 -> hosts.forEach { if (random.nextBoolean()) it.paused = false }
            6 -> cut = hosts.random(random).place.domain
            else -> cut = null
        }
    }

    fun heal() {
        cut = null
        hosts.forEach { it.paused = false }
    }

    fun step() {
        now += random.nextInt(1, 60).milliseconds
        if (random.nextInt(60) == 0) now += 1_100.milliseconds
        repeat(2) { if (messages.isNotEmpty()) deliver(messages.random(random)) }
        hosts.filter { !it.paused }.flatMap { it.runs.toList() }.forEach { work(it) }
    }

    private fun deliver(message: Message) {
        if (message.to.paused) return
        messages.remove(message)
        if (linked(message.from, message.to)) message.deliver()
    }

    private fun work(run: SimRun) {
        if (run.journal.isSuperseded) return
        if (run.finish == null && random.nextInt(3) == 0) {
            run.log.append(
                run.engine.next(random.nextInt(1, 3).coerceAtMost(LENGTH - run.log.size)),
            )
            feed(run, JournalInput.TokensAppended)
            if (run.log.size == LENGTH) {
                run.finish = FinishReason.LENGTH
                feed(run, JournalInput.Finished(FinishReason.LENGTH))
            }
        }
        if (run.journal.nextDeadline()?.let { now >= it } == true) feed(run, JournalInput.Tick)
    }

    private fun feed(run: SimRun, input: JournalInput) {
        run.journal.handle(input, now).forEach { effect ->
            when (effect) {
                is JournalEffect.Send -> send(run, effect)
                is JournalEffect.Release -> run.finishReleased = effect.finish != null
                else -> Unit
            }
        }
    }

    private fun send(run: SimRun, effect: JournalEffect.Send) {
        val holder = host(effect.holder)
        messages += Message(run.host, holder) {
            val outcome = holder.copies.append(effect.batch, now)
            messages += Message(holder, run.host) {
                if (run in run.host.runs) {
                    feed(run, JournalInput.HolderAnswered(effect.holder, outcome))
                }
            }
        }
    }

    companion object {
        const val LENGTH = 60
        val POLICY = CopyPolicy(
            copyAfter = 600.milliseconds,
            copyAfterTokens = 8,
            interval = 20.milliseconds,
            ackTimeout = 400.milliseconds,
            retryInterval = 500.milliseconds,
        )
        val START: Instant = Instant.fromEpochSeconds(0)

        fun request(n: Int) = RequestKey(OrganisationId("o"), RequestId("r$n"))

        fun place(n: Int) = HostLocation(HostId("h$n"), FailureDomainId("d${n / 2}"), "r")
    }
}
