/** Default implementation of [Lease]: a state machine that performs no I/O. */
package burdockspread.duty

import burdockspread.store.ResolvedWrite
import burdockspread.store.WriteCondition
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

internal class RealLease(
    private val duty: Duty,
    private val self: CandidateId,
    private val settings: LeaseSettings,
) : Lease {
    private class ObservedVersion(val version: Long, val since: Instant)

    private class PendingWrite(
        val writeId: String,
        val token: Long,
        val sentAt: Instant,
        val isRelease: Boolean,
    )

    private val heldLease = AtomicReference<HeldLease?>()
    private var candidacy = Candidacy.KEEP
    private var version = 0L
    private var observedVersion: ObservedVersion? = null
    private var pendingWrite: PendingWrite? = null
    private var unresolvedWrite: PendingWrite? = null
    private var isReading = false
    private var writeCount = 0
    private var nextReadAt = Instant.DISTANT_PAST
    private var nextRenewalAt = Instant.DISTANT_PAST

    override var lastSeenHolder: String? = null
        private set

    override val isIdle: Boolean
        get() = heldLease.get() == null && pendingWrite == null && !isReading

    override fun held(now: Instant): HeldLease? = heldLease.get()?.takeIf { now < it.deadline }

    override fun scheduleRead() {
        nextReadAt = Instant.DISTANT_PAST
    }

    override fun tick(candidacy: Candidacy, now: Instant): ImmutableList<LeaseEffect> {
        this.candidacy = candidacy
        val current = heldLease.get()
        val effects = when {
            current == null -> readIfDue(now)
            now >= current.deadline -> loseLease(current, LossReason.EXPIRED)
            candidacy == Candidacy.NONE -> release(current, now)
            else -> renewIfDue(current, now)
        }
        return effects.toImmutableList()
    }

    override fun onRead(read: LeaseRead, now: Instant): ImmutableList<LeaseEffect> {
        isReading = false
        val found = read as? LeaseRead.Found
        lastSeenHolder =
            found?.record?.holder ?: lastSeenHolder.takeIf { read == LeaseRead.Unavailable }
        val current = heldLease.get()
        val effects = when {
            read == LeaseRead.Unavailable -> scheduleRetry(now)
            current != null && now >= current.deadline -> loseLease(current, LossReason.EXPIRED)
            current != null -> verify(current, found, now)
            found == null -> acquire(WriteCondition.Absent, 1, now)
            else -> tryTakeOver(found, now)
        }
        return effects.toImmutableList()
    }

    override fun onWritten(
        writeId: String,
        result: ResolvedWrite,
        now: Instant,
    ): ImmutableList<LeaseEffect> {
        val write = pendingWrite?.takeIf { it.writeId == writeId } ?: return persistentListOf()
        pendingWrite = null
        val effects = when (result) {
            is ResolvedWrite.Written -> onWriteConfirmed(write, result.version, now)
            is ResolvedWrite.Refused -> scheduleRetry(now)
            is ResolvedWrite.NotApplied -> readUnlessReading(now)
            is ResolvedWrite.Unresolved -> {
                unresolvedWrite = write
                readUnlessReading(now)
            }
        }
        return effects.toImmutableList()
    }

    private fun readIfDue(now: Instant): List<LeaseEffect> {
        val isBusy = isReading || pendingWrite != null
        if (!candidacy.isAcquiring || isBusy || now < nextReadAt) return emptyList()
        return read(now)
    }

    private fun read(now: Instant): List<LeaseEffect> {
        isReading = true
        nextReadAt = now + settings.pollPeriod
        return listOf(LeaseEffect.Read(duty))
    }

    private fun scheduleRetry(now: Instant): List<LeaseEffect> {
        nextReadAt = now + settings.retryDelay
        nextRenewalAt = now + settings.retryDelay
        return emptyList()
    }

    private fun readUnlessReading(now: Instant): List<LeaseEffect> =
        if (isReading) emptyList() else read(now)

    /** Acquires a lease that is not held here if it is free, expired or this candidate's own. */
    private fun tryTakeOver(found: LeaseRead.Found, now: Instant): List<LeaseEffect> {
        val last = observedVersion
        if (last?.version != found.version) observedVersion = ObservedVersion(found.version, now)
        val unchanged = observedVersion?.let { now - it.since } ?: return emptyList()
        val isOwn = found.record.holder == self.toString()
        val isFree = found.record.holder == null && candidacy == Candidacy.FIRST
        val wait = settings.waitPeriod(found.record.duration)
        if (isOwn || isFree || unchanged >= wait) {
            return acquire(
                WriteCondition.AtVersion(found.version),
                found.record.token + 1,
                now,
            )
        }
        nextReadAt = minOf(nextReadAt, now + (wait - unchanged))
        return emptyList()
    }

    private fun acquire(condition: WriteCondition, token: Long, now: Instant): List<LeaseEffect> {
        if (!candidacy.isAcquiring || pendingWrite != null) return emptyList()
        return write(condition, self.toString(), token, now)
    }

    private fun write(
        condition: WriteCondition,
        holder: String?,
        token: Long,
        now: Instant,
    ): List<LeaseEffect> {
        val writeId = "$duty/$self/${++writeCount}"
        pendingWrite = PendingWrite(writeId, token, now, isRelease = holder == null)
        val record = LeaseRecord(holder, settings.duration, token)
        return listOf(LeaseEffect.Write(duty, record, condition, writeId))
    }

    /** Starts or extends the lease, measured from before the write was sent. */
    private fun onWriteConfirmed(
        write: PendingWrite,
        newVersion: Long,
        now: Instant,
    ): List<LeaseEffect> {
        val current = heldLease.get()
        val deadline = write.sentAt + settings.actingPeriod
        unresolvedWrite = null
        version = newVersion
        if (write.isRelease) return emptyList()
        if (candidacy == Candidacy.NONE && current == null) return writeRelease(write.token, now)
        if (now >= deadline) return readUnlessReading(now)
        val isNew = current == null || current.token != write.token
        heldLease.set(HeldLease(write.token, deadline))
        nextRenewalAt = write.sentAt + settings.renewPeriod
        observedVersion = null
        return if (isNew) listOf(LeaseEffect.Acquired(duty, write.token)) else emptyList()
    }

    /** Checks a held lease against the store after an unconfirmed write. */
    private fun verify(
        current: HeldLease,
        found: LeaseRead.Found?,
        now: Instant,
    ): List<LeaseEffect> {
        val record = found?.record
        if (record?.holder != self.toString() || record.token != current.token) {
            // An older version means that the read was stale, not that there is a newer holder.
            if (found != null && found.version < version) return scheduleRetry(now)
            return loseLease(current, LossReason.TAKEN)
        }
        if (found.version < version) return scheduleRetry(now)
        val confirmedWrite = unresolvedWrite?.takeIf { it.writeId == found.writeId }
        version = found.version
        if (confirmedWrite != null) return onWriteConfirmed(confirmedWrite, found.version, now)
        nextRenewalAt = now
        return renewIfDue(current, now)
    }

    private fun renewIfDue(current: HeldLease, now: Instant): List<LeaseEffect> {
        if (pendingWrite != null || isReading || now < nextRenewalAt) return emptyList()
        val condition = WriteCondition.AtVersion(version)
        return write(condition, self.toString(), current.token, now)
    }

    /** Stops before writing the release, so that the successor cannot start earlier. */
    private fun release(current: HeldLease, now: Instant): List<LeaseEffect> {
        val lost = loseLease(current, LossReason.RELEASED)
        return if (pendingWrite == null) lost + writeRelease(current.token, now) else lost
    }

    private fun writeRelease(token: Long, now: Instant): List<LeaseEffect> =
        write(WriteCondition.AtVersion(version), null, token, now)

    private fun loseLease(current: HeldLease, reason: LossReason): List<LeaseEffect> {
        heldLease.set(null)
        observedVersion = null
        nextReadAt = Instant.DISTANT_PAST
        return listOf(LeaseEffect.Lost(duty, current.token, reason))
    }
}
