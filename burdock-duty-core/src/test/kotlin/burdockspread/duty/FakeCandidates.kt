/** Simulates candidates for one duty with separate clocks and a faulty store. */
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

/** One process with its own clock. It does nothing while paused. */
internal class FakeCandidate(
    val lease: RealLease,
    private val clockRate: Double,
    private val clockOffset: Duration,
) {
    val responses = ArrayDeque<Pair<Duration, () -> List<LeaseEffect>>>()
    var pausedUntil = Duration.ZERO
    var candidacy = Candidacy.FIRST
    val tokens = LinkedHashSet<Long>()

    fun now(at: Duration): Instant =
        Instant.fromEpochSeconds(1_000_000) + clockOffset + at * clockRate
}

/** Advances true time. The `now` of a candidate is the time of its own clock. */
internal class FakeCandidates(
    seed: Int,
    count: Int,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    val random = Random(seed)
    val store = FakeObjectStore()
    var elapsed = Duration.ZERO
    val candidates = MutableList(count) { create(it, incarnation = 1) }
    private val key = ObjectKey(Duty.OBJECT_KIND, DUTY.name)

    fun create(index: Int, incarnation: Long): FakeCandidate = FakeCandidate(
        RealLease(DUTY, CandidateId(HostId("h$index"), incarnation), settings),
        clockRate = 1 + (random.nextDouble() * 2 - 1) * settings.maxDrift,
        clockOffset = random.nextInt(-3_600, 3_600).seconds,
    )

    fun holders(): List<FakeCandidate> =
        candidates.filter { it.lease.held(it.now(elapsed)) != null }

    fun run(time: Duration, onStep: () -> Unit = {}) {
        val end = elapsed + time
        while (elapsed < end) {
            elapsed += STEP
            candidates.filter { elapsed >= it.pausedUntil }.forEach { step(it) }
            onStep()
            check(holders().size <= 1) { "more than one holder at $elapsed" }
        }
    }

    private fun step(candidate: FakeCandidate) {
        while (true) {
            val next = candidate.responses.firstOrNull()?.takeIf { it.first <= elapsed } ?: break
            candidate.responses.removeFirst()
            execute(candidate, next.second())
        }
        execute(candidate, candidate.lease.tick(candidate.candidacy, candidate.now(elapsed)))
    }

    private fun execute(candidate: FakeCandidate, effects: List<LeaseEffect>) {
        for (effect in effects) {
            when (effect) {
                is LeaseEffect.Read -> callStore(candidate) {
                    val read = runBlocking { read() }
                    ({ candidate.lease.onRead(read, candidate.now(elapsed)) })
                }
                is LeaseEffect.Write -> callStore(candidate) {
                    val result = runBlocking { write(effect) }
                    ({ candidate.lease.onWritten(effect.writeId, result, candidate.now(elapsed)) })
                }
                is LeaseEffect.Acquired -> candidate.tokens += effect.token
                is LeaseEffect.Lost -> Unit
            }
        }
    }

    /** Calls the store and delivers its response after a random delay. */
    private fun callStore(candidate: FakeCandidate, call: () -> () -> List<LeaseEffect>) {
        val onResponse = call()
        candidate.responses += (elapsed + random.nextInt(1, 600).milliseconds) to onResponse
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

    /** Gives up on a lost response immediately, which is the worst case for the lease. */
    private suspend fun write(effect: LeaseEffect.Write): ResolvedWrite {
        val value = "${effect.record.holder.orEmpty()} ${effect.record.token}"
        return when (val result = store.put(key, value, effect.condition, effect.writeId)) {
            is WriteResult.Written -> ResolvedWrite.Written(result.version)
            is WriteResult.Conflict -> ResolvedWrite.NotApplied(null)
            is WriteResult.Refused -> ResolvedWrite.Refused(result.reason)
            is WriteResult.Unknown -> ResolvedWrite.Unresolved(result.reason)
        }
    }

    /** Overwrites the lease object without regard to the lease protocol. */
    fun overwriteLease() {
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
