/** Inputs of the owner's journal. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList

/** One input of [OwnerJournal.handle]. */
public sealed interface JournalInput {
    /** The log has new tokens. */
    public data object TokensAppended : JournalInput

    /** The answer is complete. */
    public data class Finished(public val reason: FinishReason) : JournalInput

    /** The hosts that must hold copies have changed, as computed by [CopyPlacement]. */
    public data class HoldersChanged(public val hosts: ImmutableList<HostId>) : JournalInput

    /** A holder answered the batch sent to it. */
    public data class HolderAnswered(public val holder: HostId, public val outcome: AppendOutcome) :
        JournalInput

    /** A holder could not be reached. */
    public data class HolderUnreachable(public val holder: HostId) : JournalInput

    /** The time of [OwnerJournal.nextDeadline] has been reached. */
    public data object Tick : JournalInput

    /**
     * This host is stopping: the whole journal is handed to a holder, and no more tokens follow.
     */
    public data object HandOver : JournalInput
}
