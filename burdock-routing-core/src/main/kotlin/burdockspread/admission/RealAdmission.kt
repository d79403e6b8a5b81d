/** Admission on top of target choice. */
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
        val choice = when (val chosen = chooser.choose(request, pool, now)) {
            is Either.Left -> return AdmissionDecision.Refuse(chosen.value)
            is Either.Right -> chosen.value
        }
        val ticket = ticketFor(request, pool, queue, now)
        val first = queue.first()
        val overtakes = first == null || ticket.key < first.key
        if (overtakes && startable(choice, pool)) return runOrRefuse(queue, ticket, choice, now)
        return waitOrRefuse(queue, ticket, choice, now)
    }

    override fun onSlotFreed(pool: TargetPool, now: Instant): ImmutableList<AdmissionEffect> {
        val queue = queueOf(pool)
        return persistentListOf<AdmissionEffect>().mutate { effects ->
            while (true) {
                val evicted = queue.pollEvicted() ?: break
                effects += AdmissionEffect.Refuse(evicted, overloaded(evicted.waitMillis(now)))
            }
            while (true) effects += next(queue, pool, now) ?: break
        }
    }

    override fun cancel(ticket: Ticket): Boolean = queueOf(ticket.pool).remove(ticket)

    override fun waiting(pool: TargetPool): Int = queues[pool.key]?.size ?: 0

    /** The effect for the first waiting request, or null when it has to wait on. */
    private fun next(queue: PoolQueue, pool: TargetPool, now: Instant): AdmissionEffect? {
        while (true) {
            val ticket = queue.first() ?: return null
            val effect = effectFor(ticket, pool, now) ?: return null
            if (!queue.remove(ticket)) continue
            if (effect is AdmissionEffect.Run) queue.started(now.toEpochMilliseconds())
            return effect
        }
    }

    private fun effectFor(ticket: Ticket, pool: TargetPool, now: Instant): AdmissionEffect? =
        when (val chosen = chooser.choose(ticket.request, pool, now)) {
            is Either.Left -> AdmissionEffect.Refuse(ticket, chosen.value)
            is Either.Right -> {
                val late = now + chosen.value.estimate.firstToken - ticket.deadline
                when {
                    late > Duration.ZERO -> AdmissionEffect.Refuse(ticket, unreachable(late))
                    startable(chosen.value, pool) -> AdmissionEffect.Run(ticket, chosen.value)
                    else -> null
                }
            }
        }

    private fun startable(choice: Choice, pool: TargetPool): Boolean =
        choice.estimate.queue <= options.targetQueue && pool.admits()

    private fun runOrRefuse(
        queue: PoolQueue,
        ticket: Ticket,
        choice: Choice,
        now: Instant,
    ): AdmissionDecision {
        val late = now + choice.estimate.firstToken - ticket.deadline
        if (late > Duration.ZERO) return AdmissionDecision.Refuse(unreachable(late))
        queue.started(now.toEpochMilliseconds())
        return AdmissionDecision.Run(choice)
    }

    private fun waitOrRefuse(
        queue: PoolQueue,
        ticket: Ticket,
        choice: Choice,
        now: Instant,
    ): AdmissionDecision {
        val wait = expectedWait(queue, ticket, choice, now)
        val work = choice.estimate.prefill + choice.estimate.load
        val late = now + wait * options.waitSafety + work - ticket.deadline
        if (late > Duration.ZERO) return AdmissionDecision.Refuse(unreachable(late))
        if (!queue.add(ticket)) return AdmissionDecision.Refuse(overloaded(wait))
        return AdmissionDecision.Wait(ticket, wait)
    }

    private fun expectedWait(
        queue: PoolQueue,
        ticket: Ticket,
        choice: Choice,
        now: Instant,
    ): Duration {
        val rate = queue.startsPerSecond(now.toEpochMilliseconds())
        if (rate == null) return choice.estimate.queue
        return maxOf(((queue.ahead(ticket.key) + 1) / rate).seconds, choice.estimate.queue)
    }

    private fun ticketFor(
        request: RouteRequest,
        pool: TargetPool,
        queue: PoolQueue,
        now: Instant,
    ): Ticket {
        val waiting = queue.waitingOf(request.organisation)
        val back = options.levelStep * request.priorityLevel + options.organisationStep * waiting
        val rank = now.toEpochMilliseconds() + back.inWholeMilliseconds
        val key = QueueKey(rank, sequence.getAndIncrement())
        return Ticket(request, pool, key, request.deadline ?: (now + options.maxWait))
    }

    private fun queueOf(pool: TargetPool): PoolQueue =
        queues.computeIfAbsent(pool.key) { PoolQueue(options.queueBound) }

    private fun Ticket.waitMillis(now: Instant): Duration =
        maxOf(now.toEpochMilliseconds() - key.rankMillis, 0L).milliseconds

    private fun unreachable(late: Duration): Refusal = Refusal(
        ErrorCode.DEADLINE_UNREACHABLE,
        "the first token is expected ${late.inWholeMilliseconds} ms after the deadline",
        maxOf(late, MIN_RETRY_AFTER),
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
