/** What a session generates. */
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
 * The request of a session.
 *
 * @property priorityLevel lower levels run first.
 * @property version model version that serves the request.
 * @property lineage where the tokens come from; its latest branch is this session.
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
    /** The request as it is copied for a host that takes the generation over. */
    fun journalBody(): String = "${body.api.path}\n${body.text()}"

    companion object {
        /** The caller's request in a copied [journalBody]. */
        fun parseJournalBody(text: String): Either<Refusal, CompletionBody> {
            val api = CompletionApi.entries.firstOrNull { it.path == text.substringBefore('\n') }
            return CompletionBody.parse(
                api ?: CompletionApi.COMPLETIONS,
                text.substringAfter('\n'),
            )
        }
    }
}
