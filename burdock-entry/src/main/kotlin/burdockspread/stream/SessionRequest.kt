/** What a session generates. */
package burdockspread.stream

import burdockspread.generation.GenerationSpec
import burdockspread.id.GenerationId
import burdockspread.journal.Lineage
import burdockspread.journal.RequestKey
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
)
