/** One random schedule of asks, faults, crashes and pauses over a shard of the ledger. */
package burdockspread.bench.claims

import burdockspread.claim.BodyHash
import burdockspread.claim.CallOutcome
import burdockspread.claim.ClaimAttempt
import burdockspread.claim.ClaimDecision
import burdockspread.claim.ClaimSettings
import burdockspread.claim.KeyHash
import burdockspread.claim.ShardStep
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.store.ResolvedWrite
import burdockspread.store.ResolvingStore
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Runs one schedule drawn from [seed]; the same seed gives the same schedule. */
internal class ClaimSchedule(seed: Long, private val weakening: Weakening = Weakening.NONE) {
    private val random = Random(seed)
    private val faults = RandomFaults(random)
    private val fake = FakeObjectStore(faults)
    private val store =
        if (weakening == Weakening.NO_CONDITION) UnconditionalStore(fake) else fake
    private val resolving = ResolvingStore(store, Duration.ZERO, 1 + random.nextInt(2))
    private val settings = ClaimSettings(
        shardCount = 1,
        windowBatches = 2 + random.nextInt(4),
        maxBatchRecords = 1 + random.nextInt(4),
    )
    private val desk = OrderDesk()
    private val invariants = Invariants(desk)
    private val hosts = ArrayList<ScheduleHost>()
    private val keys = List(1 + random.nextInt(4)) { KeyHash(it.toLong(), random.nextLong()) }
    private val askedKeys = HashSet<KeyHash>()
    private var now = Instant.fromEpochSeconds(1_700_000_000)
    private var processes = 0
    private var crashes = 0
    private val decisions = LinkedHashMap<String, Int>()

    /** Runs the schedule of [events] events and returns what it saw. */
    fun run(events: Int): ScheduleReport {
        repeat(1 + random.nextInt(3)) { hosts += newHost() }
        try {
            repeat(events) { event() }
            settleAll()
        } catch (e: IllegalStateException) {
            invariants.violations += Violation.LOG_BROKEN
        }
        return ScheduleReport(invariants.violations, decisions, desk.most(), fake.writes.get())
    }

    private fun event() {
        val host = hosts.random(random)
        when (random.nextInt(100)) {
            in 0 until 12 -> ask(host)
            in 12 until 68 -> progress(host)
            in 68 until 80 -> act(host)
            in 80 until 83 -> fake.deliverDelayedCalls()
            in 83 until 85 -> faults.toggleOutage()
            in 85 until 87 -> crash(host)
            in 87 until 89 -> host.pausedUntil = now + random.nextInt(90).seconds
            in 89 until 90 -> now += random.nextInt(90).seconds
            else -> now += random.nextInt(150).milliseconds
        }
    }

    private fun ask(host: ScheduleHost) {
        val key = keys.random(random)
        val body = if (random.nextInt(10) == 0) OTHER_BODY else BODY
        val isFirst = askedKeys.add(key) || weakening == Weakening.EVERY_ASK_IS_FIRST
        val ask = ClaimAttempt(host.nextId(), key, body, isFirst, now)
        host.asks[ask.id] = ask
        invariants.onAsk(ask)
        host.machine.submit(ask, now)
        if (random.nextInt(15) == 0) host.machine.cancel(ask.id, now)
        takeAnswers(host)
    }

    /** Moves a host's step on: chosen, carried out and seen are three events. */
    private fun progress(host: ScheduleHost) {
        if (now < host.pausedUntil) return
        val step = host.step
        when {
            host.result != null -> host.deliver(now)
            step != null -> host.result = carryOut(step)
            else -> host.poll(now)
        }
        takeAnswers(host)
    }

    private fun carryOut(step: ShardStep): StepResult = runNow {
        when (step) {
            is ShardStep.Read -> StepResult.Read(store.get(step.key))
            is ShardStep.Create ->
                written(resolving.create(step.key, step.value, step.writeId))
            is ShardStep.Write ->
                written(resolving.put(step.key, step.value, step.condition, step.writeId))
            is ShardStep.Delete -> {
                store.delete(step.key, step.condition)
                StepResult.Delete
            }
            is ShardStep.Idle -> error("an idle step needs no store")
        }
    }

    private fun written(result: ResolvedWrite): StepResult {
        val unresolved = result is ResolvedWrite.Unresolved
        val seen = when {
            unresolved && weakening == Weakening.LOST_IS_REFUSED -> ResolvedWrite.Refused("lost")
            unresolved && weakening == Weakening.LOST_IS_WRITTEN ->
                ResolvedWrite.Written(nextVersion())
            else -> result
        }
        return StepResult.Write(seen)
    }

    private fun nextVersion(): Long = (fake.peekAll().maxOfOrNull { it.version } ?: 0) + 1

    /** A thread of the host sends, gets its answer or gives up, as its permit lets it. */
    private fun act(host: ScheduleHost) {
        if (now < host.pausedUntil || host.held.isEmpty()) return
        val call = host.held.random(random)
        when (random.nextInt(4)) {
            0 -> host.release(call, now)
            else -> send(host, call)
        }
    }

    private fun send(host: ScheduleHost, call: HeldCall) {
        val unchecked = weakening == Weakening.PERMIT_UNCHECKED && !call.sent
        if (!call.permit.trySend(now) && !unchecked) return
        call.sent = true
        val claim = call.permit.claimId
        val answer = desk.book(call.ask.key, claim, call.ask.bodyHash)
        invariants.onSend(call.ask, claim)
        val isAnswerLost = random.nextInt(5) == 0
        host.held.remove(call)
        if (!isAnswerLost) {
            host.machine.record(call.permit, CallOutcome.Done(200, answer), now)
        }
    }

    private fun takeAnswers(host: ScheduleHost) {
        for (answer in host.machine.takeResults()) {
            val ask = checkNotNull(host.asks.remove(answer.id))
            val decision = answer.decision
            decisions.merge(decision::class.simpleName.orEmpty(), 1, Int::plus)
            host.decided[ask.id] = decision
            invariants.onDecision(ask, decision)
            if (decision is ClaimDecision.Send) host.held += HeldCall(ask, decision.permit)
        }
    }

    /** The process ends. A call that it made to the store may still arrive. */
    private fun crash(host: ScheduleHost) {
        val step = host.step
        if (step != null && host.result == null && random.nextBoolean()) carryOut(step)
        hosts[hosts.indexOf(host)] = newHost()
        crashes++
    }

    private fun newHost() = ScheduleHost("p${++processes}", settings)

    /** Heals the store and asks each host for each key until all have the same last word. */
    private fun settleAll() {
        faults.outage = null
        faults.healed = true
        fake.deliverDelayedCalls()
        hosts.forEach { it.pausedUntil = Instant.DISTANT_PAST }
        runAll()
        hosts.forEach { host -> host.held.toList().forEach { host.release(it, now) } }
        runAll()
        now += settings.outcomeTimeout * 2
        val last = keys.map { key -> hosts.map { lastWord(it, key) } }
        val differ = last.any { it.distinct().size > 1 }
        if (differ) invariants.violations += Violation.FINAL_DECISIONS_DIFFER
        if (crashes == 0 && keys.indices.any { isStuck(keys[it], last[it]) }) {
            invariants.violations += Violation.STUCK_KEY
        }
        if (last.flatten().any { it == null }) invariants.violations += Violation.NO_DECISION
    }

    /** No call was sent and each process that could have is alive, yet nobody says so. */
    private fun isStuck(key: KeyHash, words: List<ClaimDecision?>): Boolean =
        desk.count(key) == 0 && ClaimDecision.OutcomeUnknown in words

    /** An unclaimed key is claimed here; giving it up makes it "not run" for everybody. */
    private fun lastWord(host: ScheduleHost, key: KeyHash): ClaimDecision? {
        val ask = ClaimAttempt(host.nextId(), key, BODY, firstSend = false, now)
        host.asks[ask.id] = ask
        host.machine.submit(ask, now)
        takeAnswers(host)
        run(host)
        val call = host.held.firstOrNull { it.ask.id == ask.id }
            ?: return host.decided[ask.id]
        host.release(call, now)
        run(host)
        return ClaimDecision.NotRun
    }

    private fun run(host: ScheduleHost) {
        repeat(SETTLE_STEPS) {
            now += 25.milliseconds
            progress(host)
        }
    }

    private fun runAll() {
        repeat(SETTLE_STEPS) {
            now += 25.milliseconds
            hosts.forEach { progress(it) }
        }
    }

    private companion object {
        const val SETTLE_STEPS = 80
        val BODY = BodyHash("ab".repeat(32))
        val OTHER_BODY = BodyHash("cd".repeat(32))
    }
}
