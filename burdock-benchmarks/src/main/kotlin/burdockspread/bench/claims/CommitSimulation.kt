/** Bookings through the ledger in virtual time, against a store with a limited rate of writes. */
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

/** Who writes a shard. */
internal enum class Writers {
    /** Each host writes the claims of its own callers to every shard. */
    EACH_HOST,

    /** As [EACH_HOST], and outcomes wait ten times as long to share a write. */
    EACH_HOST_LATE_OUTCOMES,

    /** One host writes each shard; the others forward their asks to it. */
    SHARD_HOLDER,
}

/** One setting of the simulation. */
internal data class CommitScenario(
    val hosts: Int,
    val shards: Int,
    val writers: Writers,
    val bookingsPerSecond: Int,
    val length: Duration = 10.seconds,
)

/** Runs one scenario from [SEED]. */
internal class CommitSimulation(private val scenario: CommitScenario) {
    private val random = Random(SEED)
    val fake = FakeObjectStore()
    private val store = RateLimitedStore(fake) { now }
    private val resolving = ResolvingStore(store, Duration.ZERO, rounds = 1)
    private val settings = settings(scenario)
    private val start = Instant.fromEpochSeconds(1_700_000_000)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private val writers = HashMap<Slot, Writer>()
    private val wait = Histogram(3)
    private var now = start
    private var numbers = 0L
    private var sent = 0

    private data class Slot(val host: Int, val shard: Int)

    private class Event(val at: Instant, val number: Long, val run: () -> Unit)

    private class Writer(val machine: ShardStateMachine) {
        var isBusy = false
        var wakeAt: Instant? = null
        val asked = HashMap<ClaimId, Instant>()
    }

    /** Runs the bookings and the time after them in which they are settled. */
    fun run(): CommitReport {
        val bookings = scenario.bookingsPerSecond * scenario.length.inWholeSeconds.toInt()
        repeat(bookings) {
            val at = random.nextLong(scenario.length.inWholeMicroseconds)
            schedule(start + Duration.parse("${at}us")) { book() }
        }
        while (true) {
            val event = events.poll() ?: break
            if (event.at > start + scenario.length + SETTLE) break
            now = event.at
            event.run()
        }
        return CommitReport(scenario, bookings, sent, wait, store)
    }

    private fun schedule(at: Instant, run: () -> Unit) {
        events += Event(at, numbers++, run)
    }

    private fun book() {
        val key = KeyHash(random.nextLong(), random.nextLong())
        val shard = key.shard(scenario.shards)
        val isForwarded = scenario.writers == Writers.SHARD_HOLDER
        val host = if (isForwarded) shard % scenario.hosts else random.nextInt(scenario.hosts)
        val writer = writers.getOrPut(Slot(host, shard)) {
            Writer(ShardStateMachine(shard, "host-$host-1700000000", settings))
        }
        val ask = ClaimAttempt(ClaimId("host-$host-1700000000/${numbers++}"), key, BODY, true, now)
        writer.asked[ask.id] = now
        schedule(now + if (isForwarded) FORWARD else Duration.ZERO) {
            writer.machine.submit(ask, now)
            step(writer)
        }
    }

    private fun step(writer: Writer) {
        answer(writer)
        if (writer.isBusy) return
        when (val step = writer.machine.poll(now)) {
            is ShardStep.Idle -> step.until?.let { wake(writer, it) }
            else -> carryOut(writer, step)
        }
        answer(writer)
    }

    private fun wake(writer: Writer, at: Instant) {
        val due = maxOf(at, now + 1.milliseconds)
        if (writer.wakeAt?.let { it > now && it <= due } == true) return
        writer.wakeAt = due
        schedule(due) { step(writer) }
    }

    /** The call takes effect after half of the store's time and is answered after all of it. */
    private fun carryOut(writer: Writer, step: ShardStep) {
        writer.isBusy = true
        schedule(now + STORE_TIME / 2) {
            val callsBefore = store.calls
            val deliver = effect(writer.machine, step)
            val extra = STORE_TIME * (store.calls - callsBefore - 1).toInt()
            schedule(now + STORE_TIME / 2 + extra) {
                writer.isBusy = false
                deliver()
                step(writer)
            }
        }
    }

    private fun effect(machine: ShardStateMachine, step: ShardStep): () -> Unit = runNow {
        when (step) {
            is ShardStep.Read -> store.get(step.key).let { { machine.onRead(it, now) } }
            is ShardStep.Create -> resolving.create(step.key, step.value, step.writeId)
                .let { { machine.onWrite(it, now) } }
            is ShardStep.Write ->
                resolving.put(step.key, step.value, step.condition, step.writeId)
                    .let { { machine.onWrite(it, now) } }
            is ShardStep.Delete -> store.delete(step.key, step.condition)
                .let { { machine.onDelete(now) } }
            is ShardStep.Idle -> error("an idle step needs no store")
        }
    }

    private fun answer(writer: Writer) {
        for (answer in writer.machine.takeResults()) {
            val asked = writer.asked.remove(answer.id) ?: continue
            val decision = answer.decision
            if (decision is ClaimDecision.Send) {
                sent++
                wait.recordValue((now - asked).inWholeMicroseconds)
                schedule(now + DESK_TIME) { done(writer, decision.permit) }
            }
        }
    }

    private fun done(writer: Writer, permit: SendPermit) {
        writer.machine.record(permit, CallOutcome.Done(200, ANSWER), now)
        step(writer)
    }

    companion object {
        const val SEED = 20_261_204L
        val STORE_TIME = 5.milliseconds
        val FORWARD = 2.milliseconds
        val DESK_TIME = 60.milliseconds
        val SETTLE = 10.seconds
        private val BODY = BodyHash("ab".repeat(32))
        private val ANSWER = ByteString.copyFromUtf8("x".repeat(200))

        fun settings(scenario: CommitScenario): ClaimSettings {
            val base = ClaimSettings(shardCount = scenario.shards)
            return when (scenario.writers) {
                Writers.EACH_HOST -> base
                Writers.EACH_HOST_LATE_OUTCOMES -> base.copy(outcomeDelay = base.outcomeDelay * 10)
                Writers.SHARD_HOLDER -> base.copy(headMaxAge = base.claimTimeout)
            }
        }
    }
}
