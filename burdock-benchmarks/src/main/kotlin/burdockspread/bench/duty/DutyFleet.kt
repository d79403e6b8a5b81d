/** Simulates the leases of a fleet in virtual time and counts the calls to the store. */
package burdockspread.bench.duty

import burdockspread.duty.Candidate
import burdockspread.duty.CandidateId
import burdockspread.duty.Duty
import burdockspread.duty.DutySet
import burdockspread.duty.LeaseEffect
import burdockspread.duty.LeaseRead
import burdockspread.duty.LeaseRecord
import burdockspread.duty.LeaseSettings
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import burdockspread.store.WriteResult
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * [domains] failure domains of [perDomain] hosts each that compete for the leases of [duties].
 *
 * @property contested whether every host sees itself as the only candidate, so that all hosts
 *   compete for every lease.
 */
internal class DutyFleet(
    private val domains: Int,
    perDomain: Int,
    private val duties: List<Duty>,
    private val settings: LeaseSettings,
    private val contested: Boolean,
    seed: Int,
) {
    private class Response(val at: Instant, val onReceived: () -> List<LeaseEffect>)

    private class Process(val candidate: Candidate, val set: DutySet) {
        val inbox = ArrayDeque<Response>()
        var isUp = true
    }

    private val random = Random(seed)
    private var incarnation = 1L
    private val store = FakeObjectStore()
    private val processes = MutableList(domains * perDomain) { createProcess(it, 1) }
    private val holders = HashMap<Duty, HostId>()

    var now: Instant = Instant.fromEpochSeconds(1_000_000)
        private set

    val reads: Long get() = store.reads.get()
    val writes: Long get() = store.writes.get()
    val heldCount: Int get() = holders.size

    init {
        publishMembership()
    }

    fun run(duration: Duration, until: () -> Boolean = { false }): Duration {
        val start = now
        while (now - start < duration && !until()) {
            now += STEP
            processes.filter { it.isUp }.forEach { advance(it) }
        }
        return now - start
    }

    /** Returns the host that holds the most duties, with these duties. */
    fun busiest(): Map.Entry<HostId, List<Duty>> =
        holders.entries.groupBy({ it.value }, { it.key }).maxBy { it.value.size }

    /** Stops [host] abruptly; [publishMembership] tells the others. */
    fun crash(host: HostId) {
        process(host).isUp = false
        holders.values.removeAll { it == host }
    }

    /** Removes [host] from its own candidates, as in a graceful shutdown. */
    fun drain(host: HostId) {
        process(host).set.onCandidates(candidates().filter { it.host != host }.toImmutableList())
    }

    /** Sends the list of live hosts to all live hosts, as membership does. */
    fun publishMembership() {
        val up = candidates().toImmutableList()
        for (process in processes.filter { it.isUp }) {
            val own = up.filter { it == process.candidate }.toImmutableList()
            process.set.onCandidates(if (contested) own else up)
        }
    }

    /** Starts a new process on each host that is down. */
    fun restartAll() {
        incarnation++
        for ((index, process) in processes.withIndex()) {
            if (!process.isUp) processes[index] = createProcess(index, incarnation)
        }
        publishMembership()
    }

    private fun createProcess(index: Int, incarnation: Long): Process {
        val domain = FailureDomainId("domain-${index % domains}")
        val host = HostId("entry-$index")
        val set = DutySet.factory.create(CandidateId(host, incarnation), settings)
        set.onDuties(duties.toImmutableList())
        return Process(Candidate(host, domain), set)
    }

    private fun candidates() = processes.filter { it.isUp }.map { it.candidate }

    private fun process(host: HostId) = processes.first { it.candidate.host == host }

    private fun advance(process: Process) {
        while (true) {
            val next = process.inbox.firstOrNull()?.takeIf { it.at <= now } ?: break
            process.inbox.removeFirst()
            execute(process, next.onReceived())
        }
        execute(process, process.set.tick(now))
    }

    private fun execute(process: Process, effects: List<LeaseEffect>) {
        for (effect in effects) {
            val duty = effect.duty
            when (effect) {
                is LeaseEffect.Read -> {
                    val read = runBlocking { read(duty) }
                    enqueue(process) { process.set.onRead(duty, read, now) }
                }
                is LeaseEffect.Write -> {
                    val result = runBlocking { write(effect) }
                    enqueue(process) { process.set.onWritten(duty, effect.writeId, result, now) }
                }
                is LeaseEffect.Acquired -> holders[duty] = process.candidate.host
                is LeaseEffect.Lost -> holders.remove(duty, process.candidate.host)
            }
        }
    }

    private fun enqueue(process: Process, onReceived: () -> List<LeaseEffect>) {
        process.inbox += Response(now + random.nextInt(2, 12).milliseconds, onReceived)
    }

    private suspend fun read(duty: Duty): LeaseRead =
        when (val result = store.get(ObjectKey(Duty.OBJECT_KIND, duty.name))) {
            is ReadResult.Found -> {
                val (holder, token) = result.value.value.split(" ")
                val record = LeaseRecord(holder.ifEmpty { null }, settings.duration, token.toLong())
                LeaseRead.Found(result.value.version, result.value.writeId, record)
            }
            is ReadResult.Missing -> LeaseRead.Missing
            is ReadResult.Unavailable -> LeaseRead.Unavailable
        }

    private suspend fun write(effect: LeaseEffect.Write): ResolvedWrite {
        val key = ObjectKey(Duty.OBJECT_KIND, effect.duty.name)
        val value = "${effect.record.holder.orEmpty()} ${effect.record.token}"
        return when (val result = store.put(key, value, effect.condition, effect.writeId)) {
            is WriteResult.Written -> ResolvedWrite.Written(result.version)
            is WriteResult.Conflict -> ResolvedWrite.NotApplied(null)
            is WriteResult.Refused -> ResolvedWrite.Refused(result.reason)
            is WriteResult.Unknown -> ResolvedWrite.Unresolved(result.reason)
        }
    }

    private companion object {
        val STEP = 250.milliseconds
    }
}
