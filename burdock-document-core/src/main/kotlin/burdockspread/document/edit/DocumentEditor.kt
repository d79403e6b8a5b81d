/** Carries edits out against the store. */
package burdockspread.document.edit

import arrow.core.getOrElse
import burdockspread.store.ObjectStore
import burdockspread.store.ResolvedWrite
import burdockspread.store.ResolvingStore
import burdockspread.store.WriteCondition
import burdockspread.time.TimeSource
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Applies edits. One conditional update of the manifest accepts an edit, so that of two racing
 * edits the second is checked against the document with the first, whichever sections they change.
 */
public class DocumentEditor(
    private val store: ObjectStore,
    private val time: TimeSource,
    private val random: Random,
    private val resolving: ResolvingStore = ResolvingStore(store),
) {
    private val reader = DocumentReader(store)

    /** Checks [edit] against the document in the store without changing anything. */
    public suspend fun validate(edit: Edit): EditResult.Refused? =
        reader.read().fold({ EditResult.Unavailable(it) }) { document ->
            EditPlanner(document, edit).check().leftOrNull()
        }

    /** Applies [edit]. Sending it again under its id is safe. */
    public suspend fun apply(edit: Edit): EditResult {
        var doubt: Long? = null
        var reason = ""
        var failures = 0
        var tries = 0
        while (failures < MAX_FAILURES && tries < MAX_TRIES) {
            when (val step = tryOnce(edit, tries, doubt)) {
                is Step.Done -> return step.result
                is Step.Again -> {
                    doubt = step.doubt
                    reason = step.reason
                    if (!step.raced) failures++
                }
            }
            delay(pause(tries++))
        }
        return if (doubt == null) EditResult.Unavailable(reason) else EditResult.Unresolved(reason)
    }

    /** One try. [doubt] is the generation as which an earlier try may have been accepted. */
    private suspend fun tryOnce(edit: Edit, attempt: Int, doubt: Long?): Step {
        val document = reader.read().getOrElse { return Step.Again(it, doubt) }
        document.accepted(edit.id)?.let { return Step.Done(EditResult.Accepted(it)) }
        if (doubt != null && !document.tellsWhether(doubt)) {
            return Step.Again("the answer to the write of generation $doubt was lost", doubt)
        }
        if (edit.changes.any { it.baseVersion > document.manifest.generation }) {
            return Step.Again("the store's list lags behind the edit", doubt)
        }
        val planned = EditPlanner(document, edit).plan(time.now(), attempt)
        val plan = planned.getOrElse { return Step.Done(it) }
        for (content in plan.contents) {
            val write = resolving.put(content.key, content.value, WriteCondition.Absent, edit.id)
            if (write !is ResolvedWrite.Written) return Step.Again("no content written", doubt)
        }
        return writeManifest(edit, plan, document, doubt)
    }

    private suspend fun writeManifest(
        edit: Edit,
        plan: EditPlan,
        document: StoredDocument,
        doubt: Long?,
    ): Step {
        val still = doubt.takeIf { it == plan.generation }
        val key = StoredDocument.MANIFEST
        return when (val write = resolving.put(key, plan.manifest, plan.condition, edit.id)) {
            is ResolvedWrite.Written -> {
                deleteUnused(document)
                Step.Done(EditResult.Accepted(plan.generation))
            }
            is ResolvedWrite.NotApplied -> Step.Again("other edits are faster", still, raced = true)
            is ResolvedWrite.Refused -> Step.Again(write.reason, still)
            is ResolvedWrite.Unresolved -> Step.Again(write.reason, plan.generation)
        }
    }

    /**
     * Whether this state proves that the edit was not accepted as [generation]. Before that
     * generation the same try may be sent again: only one of both can take effect.
     */
    private fun StoredDocument.tellsWhether(generation: Long): Boolean {
        val remembered = manifest.recentList.firstOrNull()?.generation ?: 1
        return manifest.generation == generation - 1 ||
            manifest.generation >= generation &&
            remembered <= generation
    }

    /** Deletes what earlier edits left behind. Whatever fails here is left to the next edit. */
    private suspend fun deleteUnused(document: StoredDocument) {
        for (unused in document.unused.take(MAX_DELETES)) {
            store.delete(unused.key, WriteCondition.AtVersion(unused.version))
        }
    }

    private fun pause(attempt: Int): Duration {
        val most = minOf(FIRST_PAUSE * (1 shl minOf(attempt, MAX_DOUBLINGS)), MAX_PAUSE)
        return most * random.nextDouble(MIN_JITTER, 1.0)
    }

    private fun StoredDocument.accepted(editId: String): Long? =
        manifest.recentList.find { it.editId == editId }?.generation

    private sealed interface Step {
        data class Done(val result: EditResult) : Step

        data class Again(val reason: String, val doubt: Long?, val raced: Boolean = false) :
            Step
    }

    private companion object {
        const val MAX_FAILURES = 10

        // Each lost race means that another edit was accepted, so tries end.
        const val MAX_TRIES = 100
        const val MAX_DOUBLINGS = 6
        const val MAX_DELETES = 4
        const val MIN_JITTER = 0.5
        val FIRST_PAUSE = 20.milliseconds
        val MAX_PAUSE = 1000.milliseconds
    }
}
