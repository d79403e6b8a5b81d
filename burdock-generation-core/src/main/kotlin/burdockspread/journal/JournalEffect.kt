/** Effects requested by the owner's journal. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.HostId

/** One effect of [OwnerJournal.handle]. Effects are executed in order. */
public sealed interface JournalEffect {
    /** Sends a batch to a holder. */
    public data class Send(public val holder: HostId, public val batch: JournalBatch) :
        JournalEffect

    /** Callers may receive the tokens below offset [until] and, once [finish] is set, the end. */
    public data class Release(public val until: Int, public val finish: FinishReason?) :
        JournalEffect

    /**
     * Another host continues as [by]: callers get GENERATION_SUPERSEDED, attempts are cancelled.
     */
    public data class Superseded(public val by: BranchId) : JournalEffect

    /**
     * A holder has all tokens; callers are told to reconnect and this host drops the generation.
     */
    public data class HandedOver(public val holder: HostId) : JournalEffect

    /** No holder has any of the tokens; callers that reconnect get an explicit restart. */
    public data object HandOverFailed : JournalEffect
}
