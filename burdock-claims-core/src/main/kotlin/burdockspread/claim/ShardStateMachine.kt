/** One shard of the ledger in one process, without input or output. */
package burdockspread.claim

import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import burdockspread.store.StoredObject
import burdockspread.store.WriteCondition
import burdockspread.wire.claims.ClaimHead
import kotlin.time.Instant

/**
 * Claims the keys of one shard by group commit. Not thread-safe.
 *
 * The caller runs [poll], carries the step out and hands its result back, one step at a time. Any
 * number of processes may do so for the same shard at once.
 */
public class ShardStateMachine(
    private val shard: Int,
    private val process: String,
    private val settings: ClaimSettings,
) {
    private val log = ShardLog(shard, settings)
    private val queue = ClaimQueue(settings)
    private var inFlight: ShardStep? = null
    private var startedAt = Instant.DISTANT_PAST
    private var composed: ClaimHead? = null
    private var writes = 0L
    private var headIsOld = true
    private var freshAt = Instant.DISTANT_PAST
    private var nextReadAt = Instant.DISTANT_PAST
    private var nextWriteAt = Instant.DISTANT_PAST
    private var nextSpillAt = Instant.DISTANT_PAST
    private var nextRetireAt = Instant.DISTANT_PAST
    private var retirement: Retirement? = null

    private class Retirement(val lowWater: Long, val key: ObjectKey, val version: Long)

    /** Queues an ask. Its answer comes from [takeResults] after a later step. */
    public fun submit(ask: ClaimAttempt, now: Instant) {
        queue.add(ask)
        queue.settle(log.index, freshAt, now)
    }

    /** Withdraws an ask whose caller left. Its claim, if it comes in, is recorded as not run. */
    public fun cancel(id: ClaimId, now: Instant) {
        queue.cancel(id)
        queue.settle(log.index, freshAt, now)
    }

    /** Ends [permit] and queues the outcome of its call. Later outcomes are ignored. */
    public fun record(permit: SendPermit, outcome: CallOutcome, now: Instant) {
        if (!permit.close()) return
        val record = when (outcome) {
            is CallOutcome.Done -> doneRecord(permit, outcome, settings.maxAnswerBytes)
            is CallOutcome.NotSent -> notRunRecord(permit.key, permit.claimId)
        }
        queue.record(record, permit.key, now)
    }

    /** Answers the asks whose wait is over, also while a step is under way. */
    public fun expire(now: Instant) {
        queue.settle(log.index, freshAt, now)
    }

    /** Answers that were decided since the last call. */
    public fun takeResults(): List<ClaimResult> = queue.takeResults()

    /** The next step. Its result must be handed back before the next call. */
    public fun poll(now: Instant): ShardStep {
        check(inFlight == null) { "the last step has no result yet" }
        queue.settle(log.index, freshAt, now)
        val step = nextStep(now)
        if (step !is ShardStep.Idle) {
            inFlight = step
            startedAt = now
        }
        return step
    }

    /** Takes the result of a [ShardStep.Read]. */
    public fun onRead(result: ReadResult, now: Instant) {
        val key = (finish() as ShardStep.Read).key
        when {
            result is ReadResult.Unavailable -> nextReadAt = now + settings.retryDelay
            key == log.headKey -> onHead((result as? ReadResult.Found)?.value, now)
            key == log.missingArchive -> onMissingArchive(result, now)
            result is ReadResult.Found -> onOldestArchive(result.value, now)
        }
        queue.settle(log.index, freshAt, now)
    }

    /** Takes the result of a [ShardStep.Write] or [ShardStep.Create]. */
    public fun onWrite(result: ResolvedWrite, now: Instant) {
        when (val step = finish()) {
            is ShardStep.Write -> onHeadWritten(step, result, now)
            else -> onArchiveWritten(result, now)
        }
        queue.settle(log.index, freshAt, now)
    }

    /** Takes the end of a [ShardStep.Delete], whatever became of it. */
    public fun onDelete(now: Instant) {
        finish()
        retirement = null
        queue.settle(log.index, freshAt, now)
    }

    /** State for dumps. */
    public fun state(): ShardState = ShardState(
        shard = shard,
        nextSequence = log.index.next,
        entries = log.index.size,
        waiting = queue.waiting,
        outcomes = queue.queuedOutcomes,
        doubtful = queue.doubts,
    )

    private fun nextStep(now: Instant): ShardStep {
        val hasWork = queue.hasClaims(log.index) ||
            queue.hasForfeited ||
            queue.outcomesDue?.let { it <= now } == true
        val read = log.missingArchive ?: log.headKey.takeIf { needsHead(hasWork, now) }
        if (read != null) return if (now < nextReadAt) idle(nextReadAt) else ShardStep.Read(read)
        retirement?.takeIf { it.lowWater <= log.lowWater }?.let {
            return ShardStep.Delete(it.key, WriteCondition.AtVersion(it.version))
        }
        if (!hasWork) return idle(null)
        if (now < nextWriteAt) return idle(nextWriteAt)
        return retire(now) ?: spill(now) ?: commit(now)
    }

    private fun needsHead(hasWork: Boolean, now: Instant): Boolean {
        if (queue.needsFreshHead(log.index, freshAt)) return true
        return hasWork && (headIsOld || now - freshAt > settings.headMaxAge)
    }

    private fun idle(until: Instant?): ShardStep = ShardStep.Idle(
        earliest(until, queue.nextDeadline, queue.outcomesDue.takeIf { until == null }),
    )

    /** Reads the oldest archive once in a while to learn whether it may be retired. */
    private fun retire(now: Instant): ShardStep? {
        if (!log.windowFull || now < nextRetireAt || retirement != null) return null
        nextRetireAt = now + settings.outcomeTimeout
        return log.oldestArchive?.let { ShardStep.Read(it) }
    }

    private fun spill(now: Instant): ShardStep? {
        if (!log.windowFull || now < nextSpillAt) return null
        val value = ClaimCodec.encode(log.archiveOfWindow())
        return ShardStep.Create(log.archiveKey(), value, nextWriteId())
    }

    private fun commit(now: Instant): ShardStep {
        val writeId = nextWriteId()
        val lowWater = retirement?.lowWater ?: 0
        val next = log.compose(queue.compose(log.index), writeId, lowWater, now)
        composed = next
        return ShardStep.Write(log.headKey, ClaimCodec.encode(next), log.condition, writeId)
    }

    private fun onHead(read: StoredObject?, now: Instant) {
        when {
            log.isCurrent(read) -> {
                headIsOld = false
                freshAt = startedAt
            }
            read != null && log.onHead(read) -> applied(now)
            // An older version than the known one comes from a replica that lags.
            log.missingArchive == null -> nextReadAt = now + settings.retryDelay
        }
    }

    private fun onMissingArchive(result: ReadResult, now: Instant) {
        if (result is ReadResult.Found) {
            if (log.onArchive(result.value)) applied(now)
        } else {
            log.dropTarget()
            headIsOld = true
            nextReadAt = now + settings.retryDelay
        }
    }

    private fun onOldestArchive(read: StoredObject, now: Instant) {
        val last = ClaimCodec.decodeArchive(read.value).batchesList.last()
        val age = now - Instant.fromEpochMilliseconds(last.writtenAtMillis)
        if (age > settings.retention) {
            retirement = Retirement(last.sequence + 1, read.key, read.version)
        }
    }

    private fun onHeadWritten(step: ShardStep.Write, result: ResolvedWrite, now: Instant) {
        val next = checkNotNull(composed)
        composed = null
        nextWriteAt = startedAt + settings.commitInterval
        when (result) {
            is ResolvedWrite.Written -> {
                log.onWritten(result.version, next, step.value.length)
                applied(now)
            }
            is ResolvedWrite.NotApplied -> {
                queue.lastWriteOut()
                headIsOld = true
                followHead(result.current, now)
            }
            is ResolvedWrite.Refused -> {
                queue.lastWriteOut()
                nextWriteAt = now + settings.retryDelay
            }
            is ResolvedWrite.Unresolved -> {
                headIsOld = true
                followHead(result.current, now)
            }
        }
    }

    private fun onArchiveWritten(result: ResolvedWrite, now: Instant) {
        val archive = when (result) {
            is ResolvedWrite.Written -> log.archiveOfWindow()
            is ResolvedWrite.NotApplied ->
                result.current?.let { ClaimCodec.decodeArchive(it.value) }
            else -> null
        }
        when {
            archive == null -> nextSpillAt = now + settings.retryDelay
            !log.onArchived(archive) -> headIsOld = true
        }
    }

    private fun followHead(read: StoredObject?, now: Instant) {
        if (read != null && log.onHead(read)) applied(now)
    }

    private fun applied(now: Instant) {
        headIsOld = false
        freshAt = startedAt
        queue.resolve(log.index, now)
    }

    private fun finish(): ShardStep = checkNotNull(inFlight).also { inFlight = null }

    private fun nextWriteId(): String = "$process/$shard/${++writes}"
}
