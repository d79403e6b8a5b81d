/** Thread-safe storage of the journal copies on this host. */
package burdockspread.peer

import burdockspread.journal.AppendOutcome
import burdockspread.journal.BranchId
import burdockspread.journal.ClaimOutcome
import burdockspread.journal.CopyHead
import burdockspread.journal.CopyKey
import burdockspread.journal.CopyLimits
import burdockspread.journal.JournalBatch
import burdockspread.journal.JournalCopies
import burdockspread.journal.JournalCopy
import burdockspread.journal.RequestKey
import kotlin.time.Instant

/** Guards [JournalCopies] by a lock, which suffices because copies are rarer than requests. */
internal class JournalCopyStore(limits: CopyLimits) {
    private val copies = JournalCopies(limits)

    /** Memory used by all copies, in bytes. */
    val bytes: Long get() = synchronized(copies) { copies.bytes }

    /** Number of copies. */
    val size: Int get() = synchronized(copies) { copies.size }

    fun append(batch: JournalBatch, now: Instant): AppendOutcome = synchronized(copies) {
        copies.expire(now)
        copies.append(batch, now)
    }

    fun find(key: RequestKey): List<CopyHead> = synchronized(copies) { copies.find(key) }

    fun read(key: CopyKey): JournalCopy? = synchronized(copies) { copies.read(key) }

    fun claim(key: CopyKey, taker: BranchId): ClaimOutcome =
        synchronized(copies) { copies.claim(key, taker) }

    fun drop(key: CopyKey): Unit = synchronized(copies) { copies.drop(key) }
}
