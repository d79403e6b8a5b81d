/** State machine of one shard in one process, free of I/O. */
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
 * The caller runs [poll], executes the step and reports its result, one step at a time. Any number
 * of processes may do so for the same shard concurrently.
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
    private var pendingHead: ClaimHead? = null
    private var writeCount = 0L
    private var isHeadStale = true
    private var headVerifiedAt = Instant.DISTANT_PAST
    private var nextReadAt = Instant.DISTANT_PAST
    private var nextWriteAt = Instant.DISTANT_PAST
    private var nextArchiveAt = Instant.DISTANT_PAST
    private var nextRetireAt = Instant.DISTANT_PAST
    private var retirement: Retirement? = null

    private class Retirement(val lowWater: Long, val key: ObjectKey, val version: Long)

    /** Queues an attempt. [takeResults] returns its result after a later step. */
    public fun submit(attempt: ClaimAttempt, now: Instant) {
        queue.add(attempt)
        queue.completeDecided(log.index, headVerifiedAt, now)
    }

    /**
     * Withdraws an attempt whose caller has gone. If its claim is committed, it is recorded as not
     * run.
     */
    public fun cancel(id: ClaimId, now: Instant) {
        queue.cancel(id)
        queue.completeDecided(log.index, headVerifiedAt, now)
    }

    /** Closes [permit] and queues the outcome of its call. Later outcomes are ignored. */
    public fun record(permit: SendPermit, outcome: CallOutcome, now: Instant) {
        if (!permit.close()) return
        val record = when (outcome) {
            is CallOutcome.Done -> doneRecord(permit, outcome, settings.maxAnswerBytes)
            is CallOutcome.NotSent -> notRunRecord(permit.key, permit.claimId)
        }
        queue.record(record, permit.key, now)
    }

    /** Completes the attempts whose deadline has passed, also while a step is in flight. */
    public fun expire(now: Instant) {
        queue.completeDecided(log.index, headVerifiedAt, now)
    }

    /** Returns the results decided since the last call. */
    public fun takeResults(): List<ClaimResult> = queue.takeResults()

    /** Returns the next step. Its result must be reported before the next call. */
    public fun poll(now: Instant): ShardStep {
        check(inFlight == null) { "the result of the last step has not been reported" }
        queue.completeDecided(log.index, headVerifiedAt, now)
        val step = nextStep(now)
        if (step !is ShardStep.Idle) {
            inFlight = step
            startedAt = now
        }
        return step
    }

    /** Handles the result of a [ShardStep.Read]. */
    public fun onRead(result: ReadResult, now: Instant) {
        val key = (completeStep() as ShardStep.Read).key
        when {
            result is ReadResult.Unavailable -> nextReadAt = now + settings.retryDelay
            key == log.headKey -> onHead((result as? ReadResult.Found)?.value, now)
            key == log.missingArchive -> onMissingArchive(result, now)
            result is ReadResult.Found -> onOldestArchive(result.value, now)
        }
        queue.completeDecided(log.index, headVerifiedAt, now)
    }

    /** Handles the result of a [ShardStep.Write] or [ShardStep.Create]. */
    public fun onWrite(result: ResolvedWrite, now: Instant) {
        when (val step = completeStep()) {
            is ShardStep.Write -> onHeadWritten(step, result, now)
            else -> onArchiveWritten(result, now)
        }
        queue.completeDecided(log.index, headVerifiedAt, now)
    }

    /** Handles the end of a [ShardStep.Delete], whether or not it succeeded. */
    public fun onDelete(now: Instant) {
        completeStep()
        retirement = null
        queue.completeDecided(log.index, headVerifiedAt, now)
    }

    /** Returns the state for dumps. */
    public fun state(): ShardState = ShardState(
        shard = shard,
        nextSequence = log.index.nextBatchSequence,
        entries = log.index.size,
        pendingClaims = queue.pendingCount,
        unwrittenOutcomes = queue.queuedOutcomes,
        unresolvedClaims = queue.unresolvedCount,
    )

    private fun nextStep(now: Instant): ShardStep {
        val hasWork = queue.hasClaims(log.index) ||
            queue.hasAbandoned ||
            queue.outcomesDue?.let { it <= now } == true
        val read = log.missingArchive ?: log.headKey.takeIf { needsHead(hasWork, now) }
        if (read != null) return if (now < nextReadAt) idle(nextReadAt) else ShardStep.Read(read)
        retirement?.takeIf { it.lowWater <= log.lowWater }?.let {
            return ShardStep.Delete(it.key, WriteCondition.AtVersion(it.version))
        }
        if (!hasWork) return idle(null)
        if (now < nextWriteAt) return idle(nextWriteAt)
        return checkRetirement(now) ?: archiveWindow(now) ?: commit(now)
    }

    private fun needsHead(hasWork: Boolean, now: Instant): Boolean {
        if (queue.needsNewerHead(log.index, headVerifiedAt)) return true
        return hasWork && (isHeadStale || now - headVerifiedAt > settings.headMaxAge)
    }

    private fun idle(until: Instant?): ShardStep = ShardStep.Idle(
        earliest(until, queue.nextDeadline, queue.outcomesDue.takeIf { until == null }),
    )

    /** Reads the oldest archive from time to time to check whether it may be retired. */
    private fun checkRetirement(now: Instant): ShardStep? {
        if (!log.windowFull || now < nextRetireAt || retirement != null) return null
        nextRetireAt = now + settings.outcomeTimeout
        return log.oldestArchive?.let { ShardStep.Read(it) }
    }

    private fun archiveWindow(now: Instant): ShardStep? {
        if (!log.windowFull || now < nextArchiveAt) return null
        val value = ClaimCodec.encode(log.archiveOfWindow())
        return ShardStep.Create(log.archiveKey(), value, nextWriteId())
    }

    private fun commit(now: Instant): ShardStep {
        val writeId = nextWriteId()
        val lowWater = retirement?.lowWater ?: 0
        val next = log.compose(queue.compose(log.index), writeId, lowWater, now)
        pendingHead = next
        return ShardStep.Write(log.headKey, ClaimCodec.encode(next), log.condition, writeId)
    }

    private fun onHead(read: StoredObject?, now: Instant) {
        when {
            log.isCurrent(read) -> {
                isHeadStale = false
                headVerifiedAt = startedAt
            }
            read != null && log.onHead(read) -> onHeadApplied(now)
            // A version older than the known one comes from a lagging replica.
            log.missingArchive == null -> nextReadAt = now + settings.retryDelay
        }
    }

    private fun onMissingArchive(result: ReadResult, now: Instant) {
        if (result is ReadResult.Found) {
            if (log.onArchive(result.value)) onHeadApplied(now)
        } else {
            log.dropNewestHead()
            isHeadStale = true
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
        val next = checkNotNull(pendingHead)
        pendingHead = null
        nextWriteAt = startedAt + settings.commitInterval
        when (result) {
            is ResolvedWrite.Written -> {
                log.onWritten(result.version, next, step.value.length)
                onHeadApplied(now)
            }
            is ResolvedWrite.NotApplied -> {
                queue.onLastWriteRejected()
                isHeadStale = true
                acceptHead(result.current, now)
            }
            is ResolvedWrite.Refused -> {
                queue.onLastWriteRejected()
                nextWriteAt = now + settings.retryDelay
            }
            is ResolvedWrite.Unresolved -> {
                isHeadStale = true
                acceptHead(result.current, now)
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
            archive == null -> nextArchiveAt = now + settings.retryDelay
            !log.onArchived(archive) -> isHeadStale = true
        }
    }

    private fun acceptHead(read: StoredObject?, now: Instant) {
        if (read != null && log.onHead(read)) onHeadApplied(now)
    }

    private fun onHeadApplied(now: Instant) {
        isHeadStale = false
        headVerifiedAt = startedAt
        queue.resolve(log.index, now)
    }

    private fun completeStep(): ShardStep = checkNotNull(inFlight).also { inFlight = null }

    private fun nextWriteId(): String = "$process/$shard/${++writeCount}"
}
