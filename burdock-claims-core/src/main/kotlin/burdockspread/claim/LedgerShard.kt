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
    private val work = Channel<Unit>(Channel.CONFLATED)
    private val callers = ConcurrentHashMap<ClaimId, CompletableDeferred<ClaimDecision>>()

    suspend fun claim(ask: ClaimAttempt): ClaimDecision {
        val decision = CompletableDeferred<ClaimDecision>()
        callers[ask.id] = decision
        update { machine.submit(ask, it) }
        work.trySend(Unit)
        try {
            withTimeoutOrNull(settings.claimTimeout) { decision.await() }?.let { return it }
            update { machine.expire(it) }
            return decision.await()
        } catch (e: CancellationException) {
            update { abandon(ask, decision, it) }
            work.trySend(Unit)
            throw e
        } finally {
            callers.remove(ask.id)
        }
    }

    fun record(permit: SendPermit, outcome: CallOutcome, now: Instant) {
        update { machine.record(permit, outcome, now) }
        work.trySend(Unit)
    }

    suspend fun run() {
        while (true) {
            when (val step = update { machine.poll(it) }) {
                is ShardStep.Idle -> await(step.until)
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

    /** A caller that left gets no answer; a permit that it was given must not stay open. */
    private fun abandon(
        ask: ClaimAttempt,
        decision: CompletableDeferred<ClaimDecision>,
        now: Instant,
    ) {
        machine.cancel(ask.id, now)
        if (!decision.isCompleted) return
        val permit = (decision.getCompleted() as? ClaimDecision.Send)?.permit ?: return
        machine.record(permit, CallOutcome.NotSent, now)
    }

    private suspend fun await(until: Instant?) {
        if (until == null) {
            work.receive()
        } else {
            withTimeoutOrNull(until - time.now()) { work.receive() }
        }
    }

    private fun <T> update(change: (Instant) -> T): T = synchronized(lock) {
        val result = change(time.now())
        machine.takeResults().forEach { callers[it.id]?.complete(it.decision) }
        result
    }
}
