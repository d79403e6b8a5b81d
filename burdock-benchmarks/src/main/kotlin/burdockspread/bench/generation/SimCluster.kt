/** Simulation of hosts that fail, pause and are partitioned while callers reconnect. */
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

/** A generation running on one host, with an engine whose tokens differ from any other run's. */
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

    /** Returns the number of tokens that a caller may read. */
    fun readable(omitted: OmittedRule): Int =
        if (omitted == OmittedRule.RELEASE_AT_ONCE) log.size else journal.released

    fun lookupResult() = LookupResult.Running(host.location.host, key, lineage, log.size, finish)
}

internal class SimHost(val location: HostLocation) {
    var copies = JournalCopies(CopyLimits(1_000_000))
    val runs = ArrayList<SimRun>()
    var paused = false

    /** Replaces the host by one of the same name with empty state. */
    fun replace() {
        copies = JournalCopies(CopyLimits(1_000_000))
        runs.clear()
        paused = false
    }
}

/** A rule of the core that a trial leaves out. */
internal enum class OmittedRule { NONE, NO_LINEAGE, RELEASE_AT_ONCE }

/** Hosts in three domains; messages are delayed, lost in partitions or held for a paused host. */
internal class SimCluster(val random: Random, val omitted: OmittedRule) {
    val hosts = (0 until 6).map { SimHost(location(it)) }
    private val messages = ArrayList<Message>()
    private val placement = CopyPlacement(hosts.map { it.location }, "r")
    private var lastId = 0
    private var partitionedDomain: FailureDomainId? = null
    var now = START

    private class Message(val from: SimHost, val to: SimHost, val deliver: () -> Unit)

    fun host(id: HostId) = hosts.first { it.location.host == id }

    fun isConnected(a: SimHost, b: SimHost) = a.location.domain == b.location.domain ||
        a.location.domain != partitionedDomain &&
        b.location.domain != partitionedDomain

    fun canReach(client: SimHost, peer: SimHost) = !peer.paused && isConnected(client, peer)

    fun startNew(host: SimHost, request: RequestKey): SimRun {
        val key = CopyKey(request, GenerationId("g${++lastId}"))
        return run(host, key, Lineage.of(BranchId(1, host.location.host, nonce())), TokenLog())
    }

    fun run(host: SimHost, key: CopyKey, lineage: Lineage, log: TokenLog): SimRun {
        val run = SimRun(host, key, lineage, log, ++lastId)
        host.runs += run
        val holders = placement.holders(key.request, host.location.domain, 1)
        feed(run, JournalInput.HoldersChanged(holders))
        return run
    }

    fun nonce() = random.nextLong()

    fun candidates(request: RequestKey) = placement.candidates(request, 1).map { host(it) }

    fun injectFault() {
        when (random.nextInt(9)) {
            0 -> hosts.random(random).replace()
            in 1..2 -> hosts.random(random).paused = true
            in 3..5 -> hosts.forEach { if (random.nextBoolean()) it.paused = false }
            6 -> partitionedDomain = hosts.random(random).location.domain
            else -> partitionedDomain = null
        }
    }

    fun heal() {
        partitionedDomain = null
        hosts.forEach { it.paused = false }
    }

    fun step() {
        now += random.nextInt(1, 60).milliseconds
        if (random.nextInt(60) == 0) now += 1_100.milliseconds
        repeat(2) { if (messages.isNotEmpty()) deliver(messages.random(random)) }
        hosts.filter { !it.paused }.flatMap { it.runs.toList() }.forEach { advance(it) }
    }

    private fun deliver(message: Message) {
        if (message.to.paused) return
        messages.remove(message)
        if (isConnected(message.from, message.to)) message.deliver()
    }

    private fun advance(run: SimRun) {
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

        fun location(n: Int) = HostLocation(HostId("h$n"), FailureDomainId("d${n / 2}"), "r")
    }
}
