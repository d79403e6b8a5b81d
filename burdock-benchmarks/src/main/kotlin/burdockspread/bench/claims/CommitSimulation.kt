/** Simulation of bookings through the ledger in virtual time, with a rate-limited store. */
package burdockspread.bench.claims

import burdockspread.claim.BodyHash
import burdockspread.claim.CallOutcome
import burdockspread.claim.ClaimAttempt
import burdockspread.claim.ClaimDecision
import burdockspread.claim.ClaimId
import burdockspread.claim.ClaimSettings
import burdockspread.claim.KeyHash
import burdockspread.claim.SendPermit
import burdockspread.claim.ShardStateMachine
import burdockspread.claim.ShardStep
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.store.ResolvingStore
import com.google.protobuf.ByteString
import org.HdrHistogram.Histogram
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Which hosts write a shard. */
internal enum class WriteMode {
    /** Every host writes the claims of its own callers, to any shard. */
    EACH_HOST,

    /** Like [EACH_HOST], but outcomes wait ten times as long to be batched into a write. */
    EACH_HOST_LATE_OUTCOMES,

    /** One host writes each shard; the others forward their attempts to it. */
    SHARD_HOLDER,
}

/** Parameters of a simulation. */
internal data class CommitScenario(
    val hosts: Int,
    val shards: Int,
    val writeMode: WriteMode,
    val bookingsPerSecond: Int,
    val length: Duration = 10.seconds,
)

/** Simulates [scenario] with the random seed [SEED]. */
internal class CommitSimulation(private val scenario: CommitScenario) {
    private val random = Random(SEED)
    val fake = FakeObjectStore()
    private val store = RateLimitedStore(fake) { now }
    private val resolving = ResolvingStore(store, Duration.ZERO, rounds = 1)
    private val settings = settings(scenario)
    private val start = Instant.fromEpochSeconds(1_700_000_000)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private val writers = HashMap<WriterKey, Writer>()
    private val waitMicros = Histogram(3)
    private var now = start
    private var nextNumber = 0L
    private var sent = 0

    private data class WriterKey(val host: Int, val shard: Int)

    private class Event(val at: Instant, val number: Long, val run: () -> Unit)

    private class Writer(val machine: ShardStateMachine) {
        var isBusy = false
        var wakeAt: Instant? = null
        val submittedAt = HashMap<ClaimId, Instant>()
    }

    /** Runs the bookings, then waits up to [SETTLE_TIME] for their completion. */
    fun run(): CommitReport {
        val bookings = scenario.bookingsPerSecond * scenario.length.inWholeSeconds.toInt()
        repeat(bookings) {
            val at = random.nextLong(scenario.length.inWholeMicroseconds)
            schedule(start + Duration.parse("${at}us")) { book() }
        }
        while (true) {
            val event = events.poll() ?: break
            if (event.at > start + scenario.length + SETTLE_TIME) break
            now = event.at
            event.run()
        }
        return CommitReport(scenario, bookings, sent, waitMicros, store)
    }

    private fun schedule(at: Instant, run: () -> Unit) {
        events += Event(at, nextNumber++, run)
    }

    private fun book() {
        val key = KeyHash(random.nextLong(), random.nextLong())
        val shard = key.shard(scenario.shards)
        val isForwarded = scenario.writeMode == WriteMode.SHARD_HOLDER
        val host = if (isForwarded) shard % scenario.hosts else random.nextInt(scenario.hosts)
        val writer = writers.getOrPut(WriterKey(host, shard)) {
            Writer(ShardStateMachine(shard, "host-$host-1700000000", settings))
        }
        val attempt = ClaimAttempt(
            ClaimId("host-$host-1700000000/${nextNumber++}"),
            key,
            REQUEST_HASH,
            true,
            now,
        )
        writer.submittedAt[attempt.id] = now
        schedule(now + if (isForwarded) FORWARD_DELAY else Duration.ZERO) {
            writer.machine.submit(attempt, now)
            advance(writer)
        }
    }

    private fun advance(writer: Writer) {
        collectResults(writer)
        if (writer.isBusy) return
        when (val step = writer.machine.poll(now)) {
            is ShardStep.Idle -> step.until?.let { scheduleWake(writer, it) }
            else -> execute(writer, step)
        }
        collectResults(writer)
    }

    private fun scheduleWake(writer: Writer, at: Instant) {
        val due = maxOf(at, now + 1.milliseconds)
        if (writer.wakeAt?.let { it > now && it <= due } == true) return
        writer.wakeAt = due
        schedule(due) { advance(writer) }
    }

    /** Applies the call after half of [STORE_CALL_TIME] and delivers its result after all of it. */
    private fun execute(writer: Writer, step: ShardStep) {
        writer.isBusy = true
        schedule(now + STORE_CALL_TIME / 2) {
            val callsBefore = store.calls
            val deliver = applyAtStore(writer.machine, step)
            val extra = STORE_CALL_TIME * (store.calls - callsBefore - 1).toInt()
            schedule(now + STORE_CALL_TIME / 2 + extra) {
                writer.isBusy = false
                deliver()
                advance(writer)
            }
        }
    }

    private fun applyAtStore(machine: ShardStateMachine, step: ShardStep): () -> Unit = runSync {
        when (step) {
            is ShardStep.Read -> store.get(step.key).let { { machine.onRead(it, now) } }
            is ShardStep.Create -> resolving.create(step.key, step.value, step.writeId)
                .let { { machine.onWrite(it, now) } }
            is ShardStep.Write ->
                resolving.put(step.key, step.value, step.condition, step.writeId)
                    .let { { machine.onWrite(it, now) } }
            is ShardStep.Delete -> store.delete(step.key, step.condition)
                .let { { machine.onDelete(now) } }
            is ShardStep.Idle -> error("an idle step makes no store call")
        }
    }

    private fun collectResults(writer: Writer) {
        for (claimResult in writer.machine.takeResults()) {
            val submittedAt = writer.submittedAt.remove(claimResult.id) ?: continue
            val decision = claimResult.decision
            if (decision is ClaimDecision.Send) {
                sent++
                waitMicros.recordValue((now - submittedAt).inWholeMicroseconds)
                schedule(now + SERVICE_TIME) { recordOutcome(writer, decision.permit) }
            }
        }
    }

    private fun recordOutcome(writer: Writer, permit: SendPermit) {
        writer.machine.record(permit, CallOutcome.Done(200, RESPONSE_BODY), now)
        advance(writer)
    }

    companion object {
        const val SEED = 20_261_204L
        val STORE_CALL_TIME = 5.milliseconds
        val FORWARD_DELAY = 2.milliseconds
        val SERVICE_TIME = 60.milliseconds
        val SETTLE_TIME = 10.seconds
        private val REQUEST_HASH = BodyHash("ab".repeat(32))
        private val RESPONSE_BODY = ByteString.copyFromUtf8("x".repeat(200))

        fun settings(scenario: CommitScenario): ClaimSettings {
            val base = ClaimSettings(shardCount = scenario.shards)
            return when (scenario.writeMode) {
                WriteMode.EACH_HOST -> base
                WriteMode.EACH_HOST_LATE_OUTCOMES ->
                    base.copy(outcomeDelay = base.outcomeDelay * 10)
                WriteMode.SHARD_HOLDER -> base.copy(headMaxAge = base.claimTimeout)
            }
        }
    }
}
