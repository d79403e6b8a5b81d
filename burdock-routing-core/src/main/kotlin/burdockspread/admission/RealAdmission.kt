/** Default implementation of [Admission], based on the estimates of a target chooser. */
package burdockspread.admission

import arrow.core.Either
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.route.Choice
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetPool
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class RealAdmission(
    private val chooser: TargetChooser,
    private val options: AdmissionOptions,
) : Admission {
    private val queues = ConcurrentHashMap<PoolKey, PoolQueue>()
    private val sequence = AtomicLong()

    override fun admit(request: RouteRequest, pool: TargetPool, now: Instant): AdmissionDecision {
        val queue = queueOf(pool)
        val choice = when (val result = chooser.choose(request, pool, now)) {
            is Either.Left -> return AdmissionDecision.Refuse(result.value)
            is Either.Right -> result.value
        }
        val queued = newQueuedRequest(request, pool, queue, now)
        val first = queue.first()
        val isNext = first == null || queued.key < first.key
        if (isNext && canStart(choice, pool)) return runOrRefuse(queue, queued, choice, now)
        return queueOrRefuse(queue, queued, choice, now)
    }

    override fun onSlotFreed(pool: TargetPool, now: Instant): ImmutableList<AdmissionEffect> {
        val queue = queueOf(pool)
        return persistentListOf<AdmissionEffect>().mutate { effects ->
            while (true) {
                val evicted = queue.pollEvicted() ?: break
                effects += AdmissionEffect.Refuse(evicted, overloaded(evicted.elapsedWait(now)))
            }
            while (true) effects += nextEffect(queue, pool, now) ?: break
        }
    }

    override fun cancel(queued: QueuedRequest): Boolean = queueOf(queued.pool).remove(queued)

    override fun waiting(pool: TargetPool): Int = queues[pool.key]?.size ?: 0

    /** Returns the effect for the first queued request, or null if it has to keep waiting. */
    private fun nextEffect(queue: PoolQueue, pool: TargetPool, now: Instant): AdmissionEffect? {
        while (true) {
            val queued = queue.first() ?: return null
            val effect = effectFor(queued, pool, now) ?: return null
            if (!queue.remove(queued)) continue
            if (effect is AdmissionEffect.Run) queue.onStarted(now.toEpochMilliseconds())
            return effect
        }
    }

    private fun effectFor(queued: QueuedRequest, pool: TargetPool, now: Instant): AdmissionEffect? =
        when (val result = chooser.choose(queued.request, pool, now)) {
            is Either.Left -> AdmissionEffect.Refuse(queued, result.value)
            is Either.Right -> {
                val overrun = now + result.value.estimate.firstToken - queued.deadline
                when {
                    overrun > Duration.ZERO -> AdmissionEffect.Refuse(queued, unreachable(overrun))
                    canStart(result.value, pool) -> AdmissionEffect.Run(queued, result.value)
                    else -> null
                }
            }
        }

    private fun canStart(choice: Choice, pool: TargetPool): Boolean =
        choice.estimate.queue <= options.maxTargetQueueTime && pool.hasCapacity()

    private fun runOrRefuse(
        queue: PoolQueue,
        queued: QueuedRequest,
        choice: Choice,
        now: Instant,
    ): AdmissionDecision {
        val overrun = now + choice.estimate.firstToken - queued.deadline
        if (overrun > Duration.ZERO) return AdmissionDecision.Refuse(unreachable(overrun))
        queue.onStarted(now.toEpochMilliseconds())
        return AdmissionDecision.Run(choice)
    }

    private fun queueOrRefuse(
        queue: PoolQueue,
        queued: QueuedRequest,
        choice: Choice,
        now: Instant,
    ): AdmissionDecision {
        val wait = expectedWait(queue, queued, choice, now)
        val processingTime = choice.estimate.prefill + choice.estimate.adapterLoad
        val overrun = now + wait * options.waitSafetyFactor + processingTime - queued.deadline
        if (overrun > Duration.ZERO) return AdmissionDecision.Refuse(unreachable(overrun))
        if (!queue.add(queued)) return AdmissionDecision.Refuse(overloaded(wait))
        return AdmissionDecision.Wait(queued, wait)
    }

    private fun expectedWait(
        queue: PoolQueue,
        queued: QueuedRequest,
        choice: Choice,
        now: Instant,
    ): Duration {
        val rate = queue.startsPerSecond(now.toEpochMilliseconds())
        if (rate == null) return choice.estimate.queue
        return maxOf(((queue.countAhead(queued.key) + 1) / rate).seconds, choice.estimate.queue)
    }

    private fun newQueuedRequest(
        request: RouteRequest,
        pool: TargetPool,
        queue: PoolQueue,
        now: Instant,
    ): QueuedRequest {
        val queuedBefore = queue.queuedCount(request.organisation)
        val rankOffset = options.priorityLevelStep * request.priorityLevel +
            options.organisationStep * queuedBefore
        val rank = now.toEpochMilliseconds() + rankOffset.inWholeMilliseconds
        val key = QueueKey(rank, sequence.getAndIncrement())
        return QueuedRequest(request, pool, key, request.deadline ?: (now + options.maxWait))
    }

    private fun queueOf(pool: TargetPool): PoolQueue =
        queues.computeIfAbsent(pool.key) { PoolQueue(options.maxQueueLength) }

    private fun QueuedRequest.elapsedWait(now: Instant): Duration =
        maxOf(now.toEpochMilliseconds() - key.rankMillis, 0L).milliseconds

    private fun unreachable(overrun: Duration): Refusal = Refusal(
        ErrorCode.DEADLINE_UNREACHABLE,
        "the first token is expected ${overrun.inWholeMilliseconds} ms after the deadline",
        maxOf(overrun, MIN_RETRY_AFTER),
    )

    private fun overloaded(wait: Duration): Refusal = Refusal(
        ErrorCode.OVERLOADED,
        "the queue of the pool is full",
        maxOf(wait, MIN_RETRY_AFTER),
    )

    private companion object {
        val MIN_RETRY_AFTER = 100.milliseconds
    }
}
