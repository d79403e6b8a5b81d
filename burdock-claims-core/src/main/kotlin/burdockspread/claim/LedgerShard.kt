/** Runs the steps of one shard against the store. */
package burdockspread.claim

import burdockspread.store.ObjectStore
import burdockspread.store.ResolvingStore
import burdockspread.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/** One shard with its lock. Calls to the store are made outside the lock, one at a time. */
internal class LedgerShard(
    private val machine: ShardStateMachine,
    private val store: ObjectStore,
    private val resolving: ResolvingStore,
    private val time: TimeSource,
    private val settings: ClaimSettings,
) {
    private val lock = Any()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val waitingCallers = ConcurrentHashMap<ClaimId, CompletableDeferred<ClaimDecision>>()

    suspend fun claim(attempt: ClaimAttempt): ClaimDecision {
        val decision = CompletableDeferred<ClaimDecision>()
        waitingCallers[attempt.id] = decision
        update { machine.submit(attempt, it) }
        wakeUps.trySend(Unit)
        try {
            withTimeoutOrNull(settings.claimTimeout) { decision.await() }?.let { return it }
            update { machine.expire(it) }
            return decision.await()
        } catch (e: CancellationException) {
            update { abandon(attempt, decision, it) }
            wakeUps.trySend(Unit)
            throw e
        } finally {
            waitingCallers.remove(attempt.id)
        }
    }

    fun record(permit: SendPermit, outcome: CallOutcome, now: Instant) {
        update { machine.record(permit, outcome, now) }
        wakeUps.trySend(Unit)
    }

    suspend fun run() {
        while (true) {
            when (val step = update { machine.poll(it) }) {
                is ShardStep.Idle -> awaitWork(step.until)
                is ShardStep.Read -> {
                    val read = store.get(step.key)
                    update { machine.onRead(read, it) }
                }
                is ShardStep.Create -> {
                    val created = resolving.create(step.key, step.value, step.writeId)
                    update { machine.onWrite(created, it) }
                }
                is ShardStep.Write -> write(step)
                is ShardStep.Delete -> {
                    store.delete(step.key, step.condition)
                    update { machine.onDelete(it) }
                }
            }
        }
    }

    fun state(): ShardState = synchronized(lock) { machine.state() }

    private suspend fun write(step: ShardStep.Write) {
        val result = resolving.put(step.key, step.value, step.condition, step.writeId)
        update { machine.onWrite(result, it) }
    }

    /** A cancelled caller gets no decision, so a permit that it was granted must not stay open. */
    private fun abandon(
        attempt: ClaimAttempt,
        decision: CompletableDeferred<ClaimDecision>,
        now: Instant,
    ) {
        machine.cancel(attempt.id, now)
        if (!decision.isCompleted) return
        val permit = (decision.getCompleted() as? ClaimDecision.Send)?.permit ?: return
        machine.record(permit, CallOutcome.NotSent, now)
    }

    private suspend fun awaitWork(until: Instant?) {
        if (until == null) {
            wakeUps.receive()
        } else {
            withTimeoutOrNull(until - time.now()) { wakeUps.receive() }
        }
    }

    private fun <T> update(transition: (Instant) -> T): T = synchronized(lock) {
        val result = transition(time.now())
        machine.takeResults().forEach { waitingCallers[it.id]?.complete(it.decision) }
        result
    }
}
