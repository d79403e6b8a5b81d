/** The lease as a state machine without input or output. */
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
    private class Watched(val version: Long, val since: Instant)

    private class Sent(
        val writeId: String,
        val token: Long,
        val at: Instant,
        val isRelease: Boolean,
    )

    private val holding = AtomicReference<HeldLease?>()
    private var candidacy = Candidacy.KEEP
    private var version = 0L
    private var watched: Watched? = null
    private var sent: Sent? = null
    private var unresolved: Sent? = null
    private var reading = false
    private var writes = 0
    private var nextRead = Instant.DISTANT_PAST
    private var nextRenewal = Instant.DISTANT_PAST

    override var seenHolder: String? = null
        private set

    override val isIdle: Boolean get() = holding.get() == null && sent == null && !reading

    override fun held(now: Instant): HeldLease? = holding.get()?.takeIf { now < it.deadline }

    override fun nudge() {
        nextRead = Instant.DISTANT_PAST
    }

    override fun tick(candidacy: Candidacy, now: Instant): ImmutableList<LeaseEffect> {
        this.candidacy = candidacy
        val current = holding.get()
        val effects = when {
            current == null -> readIfDue(now)
            now >= current.deadline -> lose(current, LossReason.EXPIRED)
            candidacy == Candidacy.NONE -> release(current, now)
            else -> renewIfDue(current, now)
        }
        return effects.toImmutableList()
    }

    override fun onRead(read: LeaseRead, now: Instant): ImmutableList<LeaseEffect> {
        reading = false
        val found = read as? LeaseRead.Found
        seenHolder = found?.record?.holder ?: seenHolder.takeIf { read == LeaseRead.Unavailable }
        val current = holding.get()
        val effects = when {
            read == LeaseRead.Unavailable -> retrySoon(now)
            current != null && now >= current.deadline -> lose(current, LossReason.EXPIRED)
            current != null -> verify(current, found, now)
            found == null -> acquire(WriteCondition.Absent, 1, now)
            else -> consider(found, now)
        }
        return effects.toImmutableList()
    }

    override fun onWritten(
        writeId: String,
        result: ResolvedWrite,
        now: Instant,
    ): ImmutableList<LeaseEffect> {
        val write = sent?.takeIf { it.writeId == writeId } ?: return persistentListOf()
        sent = null
        val effects = when (result) {
            is ResolvedWrite.Written -> confirm(write, result.version, now)
            is ResolvedWrite.Refused -> retrySoon(now)
            is ResolvedWrite.NotApplied -> readAgain(now)
            is ResolvedWrite.Unresolved -> {
                unresolved = write
                readAgain(now)
            }
        }
        return effects.toImmutableList()
    }

    private fun readIfDue(now: Instant): List<LeaseEffect> {
        val isBusy = reading || sent != null
        if (!candidacy.asks || isBusy || now < nextRead) return emptyList()
        return read(now)
    }

    private fun read(now: Instant): List<LeaseEffect> {
        reading = true
        nextRead = now + settings.pollPeriod
        return listOf(LeaseEffect.Read(duty))
    }

    private fun retrySoon(now: Instant): List<LeaseEffect> {
        nextRead = now + settings.retryDelay
        nextRenewal = now + settings.retryDelay
        return emptyList()
    }

    private fun readAgain(now: Instant): List<LeaseEffect> = if (reading) emptyList() else read(now)

    /** Decides about a lease that this candidate does not hold. */
    private fun consider(found: LeaseRead.Found, now: Instant): List<LeaseEffect> {
        val seen = watched
        if (seen?.version != found.version) watched = Watched(found.version, now)
        val unchanged = watched?.let { now - it.since } ?: return emptyList()
        val own = found.record.holder == self.toString()
        val free = found.record.holder == null && candidacy == Candidacy.FIRST
        val wait = settings.waitPeriod(found.record.duration)
        if (own || free || unchanged >= wait) {
            return acquire(
                WriteCondition.AtVersion(found.version),
                found.record.token + 1,
                now,
            )
        }
        nextRead = minOf(nextRead, now + (wait - unchanged))
        return emptyList()
    }

    private fun acquire(condition: WriteCondition, token: Long, now: Instant): List<LeaseEffect> {
        if (!candidacy.asks || sent != null) return emptyList()
        return write(condition, self.toString(), token, now)
    }

    private fun write(
        condition: WriteCondition,
        holder: String?,
        token: Long,
        now: Instant,
    ): List<LeaseEffect> {
        val writeId = "$duty/$self/${++writes}"
        sent = Sent(writeId, token, now, isRelease = holder == null)
        val record = LeaseRecord(holder, settings.duration, token)
        return listOf(LeaseEffect.Write(duty, record, condition, writeId))
    }

    /** Takes up or prolongs the lease, counted from before the write was sent. */
    private fun confirm(write: Sent, newVersion: Long, now: Instant): List<LeaseEffect> {
        val current = holding.get()
        val deadline = write.at + settings.actingPeriod
        unresolved = null
        version = newVersion
        if (write.isRelease) return emptyList()
        if (candidacy == Candidacy.NONE && current == null) return giveBack(write.token, now)
        if (now >= deadline) return readAgain(now)
        val isNew = current == null || current.token != write.token
        holding.set(HeldLease(write.token, deadline))
        nextRenewal = write.at + settings.renewPeriod
        watched = null
        return if (isNew) listOf(LeaseEffect.Acquired(duty, write.token)) else emptyList()
    }

    /** Checks a held lease against the store after a write that was not confirmed. */
    private fun verify(
        current: HeldLease,
        found: LeaseRead.Found?,
        now: Instant,
    ): List<LeaseEffect> {
        val record = found?.record
        if (record?.holder != self.toString() || record.token != current.token) {
            // A stale read shows an older version; the store has no newer holder then.
            if (found != null && found.version < version) return retrySoon(now)
            return lose(current, LossReason.TAKEN)
        }
        if (found.version < version) return retrySoon(now)
        val proved = unresolved?.takeIf { it.writeId == found.writeId }
        version = found.version
        if (proved != null) return confirm(proved, found.version, now)
        nextRenewal = now
        return renewIfDue(current, now)
    }

    private fun renewIfDue(current: HeldLease, now: Instant): List<LeaseEffect> {
        if (sent != null || reading || now < nextRenewal) return emptyList()
        val condition = WriteCondition.AtVersion(version)
        return write(condition, self.toString(), current.token, now)
    }

    /** Stops first and tells the store after, so that the successor starts no sooner. */
    private fun release(current: HeldLease, now: Instant): List<LeaseEffect> {
        val lost = lose(current, LossReason.RELEASED)
        return if (sent == null) lost + giveBack(current.token, now) else lost
    }

    private fun giveBack(token: Long, now: Instant): List<LeaseEffect> =
        write(WriteCondition.AtVersion(version), null, token, now)

    private fun lose(current: HeldLease, reason: LossReason): List<LeaseEffect> {
        holding.set(null)
        watched = null
        nextRead = Instant.DISTANT_PAST
        return listOf(LeaseEffect.Lost(duty, current.token, reason))
    }
}
