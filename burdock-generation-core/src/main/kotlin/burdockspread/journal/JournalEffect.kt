/** What the owner's journal asks its shell to do. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.id.HostId

/** One effect of [OwnerJournal.handle], to be carried out in order. */
public sealed interface JournalEffect {
    /** Sends a batch to a holder. */
    public data class Send(public val holder: HostId, public val batch: JournalBatch) :
        JournalEffect

    /**
     * Callers may be sent the tokens below offset [until] and, once [finish] is set, the end.
     */
    public data class Release(public val until: Int, public val finish: FinishReason?) :
        JournalEffect

    /** Another host goes on as [by]: callers get GENERATION_SUPERSEDED, attempts are cancelled. */
    public data class Superseded(public val by: BranchId) : JournalEffect

    /** A holder has all tokens; callers are told to return and this host forgets the generation. */
    public data class HandedOver(public val holder: HostId) : JournalEffect

    /** No holder has any of the tokens; callers that return get an open restart. */
    public data object HandOverFailed : JournalEffect
}
