/** Copies of other hosts' generations held by one host. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Limits of [JournalCopies].
 *
 * @property maxBytes memory of all copies.
 * @property keepFinished time for which a finished answer is kept.
 * @property keepIdle time for which an unfinished copy that receives no batch is kept.
 */
public data class CopyLimits(
    public val maxBytes: Long,
    public val keepFinished: Duration = 5.minutes,
    public val keepIdle: Duration = 10.minutes,
)

/**
 * In-memory copies, driven by a single thread.
 *
 * When there is no room for a batch, finished copies are evicted first, in the order in which they
 * finished, then unfinished ones that have been idle for [CopyLimits.keepIdle]. Otherwise the batch
 * is refused, and the owner continues without this copy. A caller of an evicted copy gets an
 * explicit restart.
 */
public class JournalCopies(private val limits: CopyLimits) {
    private val copies = HashMap<CopyKey, Copy>()
    private val generations = HashMap<RequestKey, MutableSet<CopyKey>>()
    private val finished = LinkedHashMap<CopyKey, Copy>()
    private val idle = LinkedHashMap<CopyKey, Copy>()

    /** Memory of all copies in bytes. */
    public var bytes: Long = 0
        private set

    /** Number of copies. */
    public val size: Int get() = copies.size

    /** Appends a batch to its copy, which is created by the first batch at offset 0. */
    public fun append(batch: JournalBatch, now: Instant): AppendOutcome {
        val copy = copies[batch.key] ?: return startCopy(batch, now)
        val sender = batch.lineage.current
        if (sender < copy.owner) return AppendOutcome.Superseded(copy.owner)
        copy.owner = sender
        val commonTokens = copy.lineage.commonLength(copy.log.size, batch.lineage)
        if (commonTokens < copy.log.size) truncate(copy, commonTokens)
        if (batch.offset > copy.log.size) return AppendOutcome.Gap(copy.log.size)
        return appendNewTokens(copy, batch, now)
    }

    /** Returns the heads of all copies of a request. */
    public fun find(request: RequestKey): List<CopyHead> =
        generations[request].orEmpty().map { copies.getValue(it).toHead() }

    /** Returns the whole copy of a generation, to replay a finished answer. */
    public fun read(key: CopyKey): JournalCopy? = copies[key]?.toJournalCopy()

    /** Refuses batches of continuations before [taker] from now on. */
    public fun claim(key: CopyKey, taker: BranchId): ClaimOutcome {
        val copy = copies[key] ?: return ClaimOutcome.Missing
        if (taker < copy.owner) return ClaimOutcome.Superseded(copy.owner)
        copy.owner = taker
        return ClaimOutcome.Claimed(copy.toJournalCopy())
    }

    /** Drops a copy that is no longer needed. */
    public fun drop(key: CopyKey) {
        val copy = copies.remove(key) ?: return
        finished.remove(key)
        idle.remove(key)
        bytes -= copy.bytes
        val siblings = generations.getValue(key.request)
        siblings.remove(key)
        if (siblings.isEmpty()) generations.remove(key.request)
    }

    /** Drops finished and idle copies that have expired. */
    public fun expire(now: Instant) {
        dropExpired(finished, limits.keepFinished, now)
        dropExpired(idle, limits.keepIdle, now)
    }

    private fun dropExpired(copies: Map<CopyKey, Copy>, maxAge: Duration, now: Instant) {
        while (true) {
            val oldest = copies.values.firstOrNull() ?: return
            if (now - oldest.lastAppendAt < maxAge) return
            drop(oldest.key)
        }
    }

    private fun startCopy(batch: JournalBatch, now: Instant): AppendOutcome {
        val body = batch.body
        if (batch.offset > 0 || body == null) return AppendOutcome.Gap(0)
        val copy = Copy(batch, body, now)
        val outcome = appendNewTokens(copy, batch, now)
        if (outcome == AppendOutcome.NoRoom) return outcome
        copies[batch.key] = copy
        generations.getOrPut(batch.key.request) { LinkedHashSet() }.add(batch.key)
        return outcome
    }

    private fun appendNewTokens(copy: Copy, batch: JournalBatch, now: Instant): AppendOutcome {
        val duplicates = (copy.log.size - batch.offset).coerceAtMost(batch.tokens.size)
        val newTokens = batch.tokens.subList(duplicates, batch.tokens.size)
        if (!evictFor(copy, newTokens, now)) return AppendOutcome.NoRoom
        copy.log.append(newTokens)
        copy.lineage = batch.lineage.upTo(copy.log.size)
        if (batch.finish != null && batch.offset + batch.tokens.size == copy.log.size) {
            copy.finish = batch.finish
        }
        bytes += copy.updateCountedBytes()
        onAppended(copy, now)
        return AppendOutcome.Appended(copy.log.size, copy.finish != null)
    }

    private fun onAppended(copy: Copy, now: Instant) {
        copy.lastAppendAt = now
        idle.remove(copy.key)
        if (copy.finish == null) idle[copy.key] = copy else finished.putIfAbsent(copy.key, copy)
    }

    /** Removes tokens that the latest continuation does not have. */
    private fun truncate(copy: Copy, length: Int) {
        copy.log = copy.log.prefix(length)
        copy.lineage = copy.lineage.upTo(length)
        copy.finish = null
        finished.remove(copy.key)
        bytes += copy.updateCountedBytes()
    }

    private fun evictFor(copy: Copy, newTokens: List<String>, now: Instant): Boolean {
        val uncountedBytes = if (copy.key in copies) 0L else copy.bytes
        val needed = uncountedBytes + copy.log.growthBytes(newTokens)
        while (bytes + needed > limits.maxBytes) {
            val evictionCandidate = evictionCandidate(copy, now) ?: return false
            drop(evictionCandidate.key)
        }
        return true
    }

    private fun evictionCandidate(copy: Copy, now: Instant): Copy? {
        finished.values.firstOrNull { it !== copy }?.let { return it }
        val oldest = idle.values.firstOrNull { it !== copy } ?: return null
        return oldest.takeIf { now - it.lastAppendAt >= limits.keepIdle }
    }

    private class Copy(batch: JournalBatch, private val body: String, var lastAppendAt: Instant) {
        val key = batch.key
        val createdAt = batch.createdAt
        var owner = batch.lineage.current
        var lineage = batch.lineage
        var log = TokenLog()
        var finish: FinishReason? = null
        var countedBytes = 0L

        val bytes: Long get() = log.memoryBytes + body.length + OVERHEAD_BYTES

        /** Returns the change of this copy's memory since the last call. */
        fun updateCountedBytes(): Long = (bytes - countedBytes).also { countedBytes = bytes }

        fun toHead() = CopyHead(key, owner, lineage, log.size, finish)

        fun toJournalCopy() = JournalCopy(toHead(), tokens(), body, createdAt)

        private fun tokens(): ImmutableList<String> = log.slice(0)
    }

    private companion object {
        const val OVERHEAD_BYTES = 512L
    }
}
