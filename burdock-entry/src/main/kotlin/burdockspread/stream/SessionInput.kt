/** Inputs of a session. */
package burdockspread.stream

import burdockspread.error.Refusal
import burdockspread.generation.GenerationInput
import burdockspread.journal.JournalInput

/** Input of a session, wrapped for the core that handles it. */
internal sealed interface SessionInput {
    /** Input for the generation core. */
    data class ForGeneration(val input: GenerationInput) : SessionInput

    /** Input for the journal core. */
    data class ForJournal(val input: JournalInput) : SessionInput

    /** The request was not admitted; no engine has received it. */
    data class NotAdmitted(val refusal: Refusal) : SessionInput

    /** A deadline of one of the cores has passed. */
    data object Tick : SessionInput
}
