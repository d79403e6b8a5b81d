/** Request of a session. */
package burdockspread.stream

import arrow.core.Either
import burdockspread.error.Refusal
import burdockspread.generation.GenerationSpec
import burdockspread.id.GenerationId
import burdockspread.journal.Lineage
import burdockspread.journal.RequestKey
import burdockspread.target.engine.CompletionApi
import burdockspread.target.engine.CompletionBody
import kotlin.time.Instant

/**
 * Parameters of a session.
 *
 * @property lineage branches that produced the tokens; the latest one is this session.
 * @property priorityLevel scheduling priority; lower levels run first.
 * @property version version of the model that serves the request.
 */
internal data class SessionRequest(
    val key: RequestKey,
    val generation: GenerationId,
    val lineage: Lineage,
    val body: CompletionBody,
    val spec: GenerationSpec,
    val priorityLevel: Int,
    val version: String,
    val receivedAt: Instant,
) {
    /** Returns the request as stored in journal copies, for hosts that take over the generation. */
    fun journalBody(): String = "${body.api.path}\n${body.text()}"

    companion object {
        /** Parses the caller's request from a [journalBody]. */
        fun parseJournalBody(text: String): Either<Refusal, CompletionBody> {
            val api = CompletionApi.entries.firstOrNull { it.path == text.substringBefore('\n') }
            return CompletionBody.parse(
                api ?: CompletionApi.COMPLETIONS,
                text.substringAfter('\n'),
            )
        }
    }
}
