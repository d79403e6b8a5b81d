/** Randomised fault-injection test of one shard of the claims ledger. */
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

/** A random schedule of attempts, faults, crashes and pauses, determined by [seed]. */
internal class ClaimSchedule(seed: Long, private val ablation: Ablation = Ablation.NONE) {
    private val random = Random(seed)
    private val faults = RandomFaults(random)
    private val fake = FakeObjectStore(faults)
    private val store =
        if (ablation == Ablation.NO_CONDITION) UnconditionalStore(fake) else fake
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
    private val attemptedKeys = HashSet<KeyHash>()
    private var now = Instant.fromEpochSeconds(1_700_000_000)
    private var processes = 0
    private var crashes = 0
    private val decisions = LinkedHashMap<String, Int>()

    /** Runs [events] random events and returns the violations, decisions and counts. */
    fun run(events: Int): ScheduleReport {
        repeat(1 + random.nextInt(3)) { hosts += newHost() }
        try {
            repeat(events) { runEvent() }
            healAndVerify()
        } catch (e: IllegalStateException) {
            invariants.violations += Violation.LOG_BROKEN
        }
        return ScheduleReport(invariants.violations, decisions, desk.maxCalls(), fake.writes.get())
    }

    private fun runEvent() {
        val host = hosts.random(random)
        when (random.nextInt(100)) {
            in 0 until 12 -> submitAttempt(host)
            in 12 until 68 -> advance(host)
            in 68 until 80 -> sendOrRelease(host)
            in 80 until 83 -> fake.deliverDelayedCalls()
            in 83 until 85 -> faults.toggleOutage()
            in 85 until 87 -> crash(host)
            in 87 until 89 -> host.pausedUntil = now + random.nextInt(90).seconds
            in 89 until 90 -> now += random.nextInt(90).seconds
            else -> now += random.nextInt(150).milliseconds
        }
    }

    private fun submitAttempt(host: ScheduleHost) {
        val key = keys.random(random)
        val body = if (random.nextInt(10) == 0) OTHER_BODY else BODY
        val isFirst = attemptedKeys.add(key) || ablation == Ablation.EVERY_ASK_IS_FIRST
        val attempt = ClaimAttempt(host.nextId(), key, body, isFirst, now)
        host.attempts[attempt.id] = attempt
        invariants.onAttempt(attempt)
        host.machine.submit(attempt, now)
        if (random.nextInt(15) == 0) host.machine.cancel(attempt.id, now)
        collectResults(host)
    }

    /** Advances a host's step, whose selection, execution and result delivery are three events. */
    private fun advance(host: ScheduleHost) {
        if (now < host.pausedUntil) return
        val step = host.step
        when {
            host.result != null -> host.deliver(now)
            step != null -> host.result = execute(step)
            else -> host.poll(now)
        }
        collectResults(host)
    }

    private fun execute(step: ShardStep): StepResult = runSync {
        when (step) {
            is ShardStep.Read -> StepResult.Read(store.get(step.key))
            is ShardStep.Create ->
                writeResult(resolving.create(step.key, step.value, step.writeId))
            is ShardStep.Write ->
                writeResult(resolving.put(step.key, step.value, step.condition, step.writeId))
            is ShardStep.Delete -> {
                store.delete(step.key, step.condition)
                StepResult.Delete
            }
            is ShardStep.Idle -> error("an idle step makes no store call")
        }
    }

    private fun writeResult(result: ResolvedWrite): StepResult {
        val unresolved = result is ResolvedWrite.Unresolved
        val seen = when {
            unresolved && ablation == Ablation.LOST_IS_REFUSED -> ResolvedWrite.Refused("lost")
            unresolved && ablation == Ablation.LOST_IS_WRITTEN ->
                ResolvedWrite.Written(nextVersion())
            else -> result
        }
        return StepResult.Write(seen)
    }

    private fun nextVersion(): Long = (fake.peekAll().maxOfOrNull { it.version } ?: 0) + 1

    /** Lets a thread of the host send a held call, if its permit allows it, or release it. */
    private fun sendOrRelease(host: ScheduleHost) {
        if (now < host.pausedUntil || host.heldCalls.isEmpty()) return
        val call = host.heldCalls.random(random)
        when (random.nextInt(4)) {
            0 -> host.release(call, now)
            else -> send(host, call)
        }
    }

    private fun send(host: ScheduleHost, call: HeldCall) {
        val unchecked = ablation == Ablation.PERMIT_UNCHECKED && !call.isSent
        if (!call.permit.trySend(now) && !unchecked) return
        call.isSent = true
        val claim = call.permit.claimId
        val response = desk.book(call.attempt.key, claim, call.attempt.bodyHash)
        invariants.onSend(call.attempt, claim)
        val isResponseLost = random.nextInt(5) == 0
        host.heldCalls.remove(call)
        if (!isResponseLost) {
            host.machine.record(call.permit, CallOutcome.Done(200, response), now)
        }
    }

    private fun collectResults(host: ScheduleHost) {
        for (claimResult in host.machine.takeResults()) {
            val attempt = checkNotNull(host.attempts.remove(claimResult.id))
            val decision = claimResult.decision
            decisions.merge(decision::class.simpleName.orEmpty(), 1, Int::plus)
            host.decisionsById[attempt.id] = decision
            invariants.onDecision(attempt, decision)
            if (decision is ClaimDecision.Send) host.heldCalls += HeldCall(attempt, decision.permit)
        }
    }

    /** Replaces a host by a new process. A store call of the old one may still take effect. */
    private fun crash(host: ScheduleHost) {
        val step = host.step
        if (step != null && host.result == null && random.nextBoolean()) execute(step)
        hosts[hosts.indexOf(host)] = newHost()
        crashes++
    }

    private fun newHost() = ScheduleHost("p${++processes}", settings)

    /** Ends all store faults and checks that the hosts reach the same decision on each key. */
    private fun healAndVerify() {
        faults.outage = null
        faults.isHealed = true
        fake.deliverDelayedCalls()
        hosts.forEach { it.pausedUntil = Instant.DISTANT_PAST }
        advanceAll()
        hosts.forEach { host -> host.heldCalls.toList().forEach { host.release(it, now) } }
        advanceAll()
        now += settings.outcomeTimeout * 2
        val lastByKey = keys.map { key -> hosts.map { finalDecision(it, key) } }
        val differ = lastByKey.any { it.distinct().size > 1 }
        if (differ) invariants.violations += Violation.FINAL_DECISIONS_DIFFER
        if (crashes == 0 && keys.indices.any { isStuck(keys[it], lastByKey[it]) }) {
            invariants.violations += Violation.STUCK_KEY
        }
        if (lastByKey.flatten().any { it == null }) invariants.violations += Violation.NO_DECISION
    }

    /**
     * Returns whether a host reports an unknown outcome for [key] though no call was sent. Applies
     * only if no process has crashed, so that every possible sender is alive to report it.
     */
    private fun isStuck(key: KeyHash, finalDecisions: List<ClaimDecision?>): Boolean =
        desk.count(key) == 0 && ClaimDecision.OutcomeUnknown in finalDecisions

    /** Returns the decision on [key]; claims and releases a free key, so that it is "not run". */
    private fun finalDecision(host: ScheduleHost, key: KeyHash): ClaimDecision? {
        val attempt = ClaimAttempt(host.nextId(), key, BODY, firstSend = false, now)
        host.attempts[attempt.id] = attempt
        host.machine.submit(attempt, now)
        collectResults(host)
        run(host)
        val call = host.heldCalls.firstOrNull { it.attempt.id == attempt.id }
            ?: return host.decisionsById[attempt.id]
        host.release(call, now)
        run(host)
        return ClaimDecision.NotRun
    }

    private fun run(host: ScheduleHost) {
        repeat(SETTLE_STEPS) {
            now += 25.milliseconds
            advance(host)
        }
    }

    private fun advanceAll() {
        repeat(SETTLE_STEPS) {
            now += 25.milliseconds
            hosts.forEach { advance(it) }
        }
    }

    private companion object {
        const val SETTLE_STEPS = 80
        val BODY = BodyHash("ab".repeat(32))
        val OTHER_BODY = BodyHash("cd".repeat(32))
    }
}
