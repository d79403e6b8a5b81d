/** Runs candidates for one duty against a faulty store, each with a clock of its own. */
package burdockspread.duty

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.fakes.store.StoreFault
import burdockspread.id.HostId
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One process with its clock; it does nothing while it is paused. */
internal class FakeCandidate(
    val lease: RealLease,
    private val clockRate: Double,
    private val clockOffset: Duration,
) {
    val inbox = ArrayDeque<Pair<Duration, () -> List<LeaseEffect>>>()
    var pausedUntil = Duration.ZERO
    var candidacy = Candidacy.FIRST
    val tokens = LinkedHashSet<Long>()

    fun clock(at: Duration): Instant =
        Instant.fromEpochSeconds(1_000_000) + clockOffset + at * clockRate
}

/** Steps true time; `now` of a candidate is what its own clock shows. */
internal class FakeCandidates(
    seed: Int,
    count: Int,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    val random = Random(seed)
    val store = FakeObjectStore()
    var at = Duration.ZERO
    val candidates = MutableList(count) { create(it, incarnation = 1) }
    private val key = ObjectKey(Duty.OBJECT_KIND, DUTY.name)

    fun create(index: Int, incarnation: Long): FakeCandidate = FakeCandidate(
        RealLease(DUTY, CandidateId(HostId("h$index"), incarnation), settings),
        clockRate = 1 + (random.nextDouble() * 2 - 1) * settings.maxDrift,
        clockOffset = random.nextInt(-3_600, 3_600).seconds,
    )

    fun holders(): List<FakeCandidate> = candidates.filter { it.lease.held(it.clock(at)) != null }

    fun run(time: Duration, onStep: () -> Unit = {}) {
        val end = at + time
        while (at < end) {
            at += STEP
            candidates.filter { at >= it.pausedUntil }.forEach { step(it) }
            onStep()
            check(holders().size <= 1) { "two holders at $at" }
        }
    }

    private fun step(candidate: FakeCandidate) {
        while (true) {
            val next = candidate.inbox.firstOrNull()?.takeIf { it.first <= at } ?: break
            candidate.inbox.removeFirst()
            carryOut(candidate, next.second())
        }
        carryOut(candidate, candidate.lease.tick(candidate.candidacy, candidate.clock(at)))
    }

    private fun carryOut(candidate: FakeCandidate, effects: List<LeaseEffect>) {
        for (effect in effects) {
            when (effect) {
                is LeaseEffect.Read -> answer(candidate) {
                    val read = runBlocking { read() }
                    ({ candidate.lease.onRead(read, candidate.clock(at)) })
                }
                is LeaseEffect.Write -> answer(candidate) {
                    val result = runBlocking { write(effect) }
                    ({ candidate.lease.onWritten(effect.writeId, result, candidate.clock(at)) })
                }
                is LeaseEffect.Acquired -> candidate.tokens += effect.token
                is LeaseEffect.Lost -> Unit
            }
        }
    }

    /** The store acts at once or later, and its answer takes a while. */
    private fun answer(candidate: FakeCandidate, call: () -> () -> List<LeaseEffect>) {
        val handle = call()
        candidate.inbox += (at + random.nextInt(1, 600).milliseconds) to handle
    }

    private suspend fun read(): LeaseRead = when (val result = store.get(key)) {
        is ReadResult.Found -> {
            val (holder, token) = result.value.value.split(" ")
            val record = LeaseRecord(holder.ifEmpty { null }, settings.duration, token.toLong())
            LeaseRead.Found(result.value.version, result.value.writeId, record)
        }
        is ReadResult.Missing -> LeaseRead.Missing
        is ReadResult.Unavailable -> LeaseRead.Unavailable
    }

    /** Gives up on a lost answer at once, which is the hardest case for the lease. */
    private suspend fun write(effect: LeaseEffect.Write): ResolvedWrite {
        val value = "${effect.record.holder.orEmpty()} ${effect.record.token}"
        return when (val result = store.put(key, value, effect.condition, effect.writeId)) {
            is WriteResult.Written -> ResolvedWrite.Written(result.version)
            is WriteResult.Conflict -> ResolvedWrite.NotApplied(null)
            is WriteResult.Refused -> ResolvedWrite.Refused(result.reason)
            is WriteResult.Unknown -> ResolvedWrite.Unresolved(result.reason)
        }
    }

    /** Writes the object as somebody does who does not know of leases. */
    fun takeByForce() {
        val version = store.peek(key)!!.version
        runBlocking { store.put(key, "someone 99", WriteCondition.AtVersion(version), "other") }
    }

    fun breakStore(fault: StoreFault) {
        store.faults = { fault }
    }

    companion object {
        val DUTY = Duty("relay.d")
        val STEP = 100.milliseconds
    }
}
