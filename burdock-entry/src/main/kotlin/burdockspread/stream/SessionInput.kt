/** What reaches the coroutine of a session. */
package burdockspread.stream

import burdockspread.error.Refusal
import burdockspread.generation.GenerationInput
import burdockspread.journal.JournalInput

/** One input of a session, for the core that it names. */
internal sealed interface SessionInput {
    /** For the generation. */
    data class ForGeneration(val input: GenerationInput) : SessionInput

    /** For the journal. */
    data class ForJournal(val input: JournalInput) : SessionInput

    /** The request was not let in; no engine has seen it. */
    data class NotAdmitted(val refusal: Refusal) : SessionInput

    /** A deadline of one of the two has come. */
    data object Tick : SessionInput
}
