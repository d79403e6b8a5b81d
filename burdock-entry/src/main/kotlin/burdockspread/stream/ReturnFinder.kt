/** Finds the generation of a caller that comes back. */
package burdockspread.stream

import burdockspread.journal.EventId
import burdockspread.journal.JournalCopy
import burdockspread.journal.Lineage
import burdockspread.journal.ReconnectDecision
import burdockspread.journal.RequestKey

/** What was found for a returning caller. */
internal sealed interface Found {
    /** The rest is read with [reader]. */
    data class Read(val reader: AnswerReader) : Found

    /** This host goes on with [copy]; the caller reads on from [offset]. */
    data class Continue(val copy: JournalCopy, val lineage: Lineage, val offset: Int) : Found

    /** No other host's journal helps. */
    data class Decided(val decision: ReconnectDecision) : Found
}

/** Asks the hosts that may run or hold a generation. */
internal fun interface ReturnFinder {
    /** Finds the answer to [key] after [last]; [local] is this host's own session, if any. */
    suspend fun find(key: RequestKey, last: EventId?, local: GenerationSession?): Found
}
