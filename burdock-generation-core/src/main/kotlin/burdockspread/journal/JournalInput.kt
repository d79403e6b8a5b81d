/** Events that the owner's journal reacts to. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** One event for [OwnerJournal.handle]. */
public sealed interface JournalInput {
    /** The log has new tokens. */
    public data object TokensAppended : JournalInput

    /** The answer is whole. */
    public data class Finished(public val reason: FinishReason) : JournalInput

    /** The hosts that are to hold copies, from [CopyPlacement]. */
    public data class HoldersChanged(public val hosts: ImmutableList<HostId>) : JournalInput

    /** A holder answered the batch sent to it. */
    public data class HolderAnswered(public val holder: HostId, public val outcome: AppendOutcome) :
        JournalInput

    /** A holder could not be reached. */
    public data class HolderUnreachable(public val holder: HostId) : JournalInput

    /** The time of [OwnerJournal.nextDeadline] has come. */
    public data object Tick : JournalInput

    /** This host stops: the journal goes to a holder whole, and no more tokens come. */
    public data object HandOver : JournalInput
}
