/** Lookup of the generations of reconnecting callers. */
package burdockspread.stream

import burdockspread.journal.EventId
import burdockspread.journal.JournalCopy
import burdockspread.journal.Lineage
import burdockspread.journal.ReconnectDecision
import burdockspread.journal.RequestKey

/** Result of the lookup for a reconnecting caller. */
internal sealed interface GenerationLocation {
    /** The rest of the response is read with [reader]. */
    data class Read(val reader: ResponseReader) : GenerationLocation

    /** This host takes over the generation from [copy]; the caller resumes at [offset]. */
    data class TakenOver(val copy: JournalCopy, val lineage: Lineage, val offset: Int) :
        GenerationLocation

    /** No other host can continue the response; [decision] states how to proceed. */
    data class Decided(val decision: ReconnectDecision) : GenerationLocation
}

/** Looks up generations at the hosts that may run them or hold copies of them. */
internal fun interface GenerationLocator {
    /** Finds the response to [key] after [last]; [local] is this host's own session, if any. */
    suspend fun find(key: RequestKey, last: EventId?, local: GenerationSession?): GenerationLocation
}
