/** The copies that one host holds of other hosts' generations. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/**
 * Bounds of [JournalCopies].
 *
 * @property maxBytes memory of all copies.
 * @property keepFinished time for which a finished answer is kept.
 * @property keepIdle time for which an unfinished copy that gets no batch is kept.
 */
public data class CopyLimits(
    public val maxBytes: Long,
    public val keepFinished: Duration = 5.minutes,
    public val keepIdle: Duration = 10.minutes,
)

/**
 * Copies in memory, driven by a single thread.
 *
 * When a batch finds no room, finished copies go first, the one that finished first before the
 * others, then unfinished ones that were idle for [CopyLimits.keepIdle]. Otherwise the batch is
 * refused, and the owner goes on without this copy. A caller of a dropped copy gets an open
 * restart.
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

    /** Adds a batch to its copy, which begins with the first batch at offset 0. */
    public fun append(batch: JournalBatch, now: Instant): AppendOutcome {
        val copy = copies[batch.key] ?: return begin(batch, now)
        val sender = batch.lineage.current
        if (sender < copy.owner) return AppendOutcome.Superseded(copy.owner)
        copy.owner = sender
        val common = copy.lineage.commonLength(copy.log.size, batch.lineage)
        if (common < copy.log.size) cut(copy, common)
        if (batch.offset > copy.log.size) return AppendOutcome.Gap(copy.log.size)
        return add(copy, batch, now)
    }

    /** The heads of all copies of a request. */
    public fun find(request: RequestKey): List<CopyHead> =
        generations[request].orEmpty().map { copies.getValue(it).head() }

    /** The whole copy of a generation, to replay a finished answer. */
    public fun read(key: CopyKey): JournalCopy? = copies[key]?.whole()

    /** Refuses batches of continuations before [taker] from now on. */
    public fun claim(key: CopyKey, taker: BranchId): ClaimOutcome {
        val copy = copies[key] ?: return ClaimOutcome.Missing
        if (taker < copy.owner) return ClaimOutcome.Superseded(copy.owner)
        copy.owner = taker
        return ClaimOutcome.Claimed(copy.whole())
    }

    /** Forgets a copy that nobody needs any more. */
    public fun drop(key: CopyKey) {
        val copy = copies.remove(key) ?: return
        finished.remove(key)
        idle.remove(key)
        bytes -= copy.bytes
        val others = generations.getValue(key.request)
        others.remove(key)
        if (others.isEmpty()) generations.remove(key.request)
    }

    /** Drops copies whose time is over, finished and idle ones. */
    public fun expire(now: Instant) {
        dropOlder(finished, limits.keepFinished, now)
        dropOlder(idle, limits.keepIdle, now)
    }

    private fun dropOlder(copies: Map<CopyKey, Copy>, keep: Duration, now: Instant) {
        while (true) {
            val oldest = copies.values.firstOrNull() ?: return
            if (now - oldest.touched < keep) return
            drop(oldest.key)
        }
    }

    private fun begin(batch: JournalBatch, now: Instant): AppendOutcome {
        val body = batch.body
        if (batch.offset > 0 || body == null) return AppendOutcome.Gap(0)
        val copy = Copy(batch, body, now)
        val outcome = add(copy, batch, now)
        if (outcome == AppendOutcome.NoRoom) return outcome
        copies[batch.key] = copy
        generations.getOrPut(batch.key.request) { LinkedHashSet() }.add(batch.key)
        return outcome
    }

    private fun add(copy: Copy, batch: JournalBatch, now: Instant): AppendOutcome {
        val known = (copy.log.size - batch.offset).coerceAtMost(batch.tokens.size)
        val fresh = batch.tokens.subList(known, batch.tokens.size)
        if (!makeRoom(copy, fresh, now)) return AppendOutcome.NoRoom
        copy.log.append(fresh)
        copy.lineage = batch.lineage.upTo(copy.log.size)
        if (batch.finish != null && batch.offset + batch.tokens.size == copy.log.size) {
            copy.finish = batch.finish
        }
        bytes += copy.resized()
        touch(copy, now)
        return AppendOutcome.Appended(copy.log.size, copy.finish != null)
    }

    private fun touch(copy: Copy, now: Instant) {
        copy.touched = now
        idle.remove(copy.key)
        if (copy.finish == null) idle[copy.key] = copy else finished.putIfAbsent(copy.key, copy)
    }

    /** Removes tokens that the latest continuation does not have. */
    private fun cut(copy: Copy, length: Int) {
        copy.log = copy.log.prefix(length)
        copy.lineage = copy.lineage.upTo(length)
        copy.finish = null
        finished.remove(copy.key)
        bytes += copy.resized()
    }

    private fun makeRoom(copy: Copy, fresh: List<String>, now: Instant): Boolean {
        val held = if (copy.key in copies) 0L else copy.bytes
        val needed = held + copy.log.growthBytes(fresh)
        while (bytes + needed > limits.maxBytes) {
            val victim = victim(copy, now) ?: return false
            drop(victim.key)
        }
        return true
    }

    private fun victim(copy: Copy, now: Instant): Copy? {
        finished.values.firstOrNull { it !== copy }?.let { return it }
        val oldest = idle.values.firstOrNull { it !== copy } ?: return null
        return oldest.takeIf { now - it.touched >= limits.keepIdle }
    }

    private class Copy(batch: JournalBatch, private val body: String, var touched: Instant) {
        val key = batch.key
        val createdAt = batch.createdAt
        var owner = batch.lineage.current
        var lineage = batch.lineage
        var log = TokenLog()
        var finish: FinishReason? = null
        var counted = 0L

        val bytes: Long get() = log.memoryBytes + body.length + OVERHEAD_BYTES

        /** The change of this copy's memory since it was counted last. */
        fun resized(): Long = (bytes - counted).also { counted = bytes }

        fun head() = CopyHead(key, owner, lineage, log.size, finish)

        fun whole() = JournalCopy(head(), tokens(), body, createdAt)

        private fun tokens(): ImmutableList<String> = log.slice(0)
    }

    private companion object {
        const val OVERHEAD_BYTES = 512L
    }
}
