/** Applies edits to the document in the store. */
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
 * Applies edits. An edit is accepted by a single conditional update of the manifest. The loser of
 * two concurrent edits is therefore validated again, against the document that includes the winner,
 * whichever sections they change.
 */
public class DocumentEditor(
    private val store: ObjectStore,
    private val time: TimeSource,
    private val random: Random,
    private val resolvingStore: ResolvingStore = ResolvingStore(store),
) {
    private val reader = DocumentReader(store)

    /** Validates [edit] against the document in the store without changing anything. */
    public suspend fun validate(edit: Edit): EditResult.Refused? =
        reader.read().fold({ EditResult.Unavailable(it) }) { document ->
            EditPlanner(document, edit).validate().leftOrNull()
        }

    /** Applies [edit]. Repeating it with the same id is safe. */
    public suspend fun apply(edit: Edit): EditResult {
        var inDoubt: Long? = null
        var reason = ""
        var failures = 0
        var attempts = 0
        while (failures < MAX_FAILURES && attempts < MAX_ATTEMPTS) {
            when (val step = attemptOnce(edit, attempts, inDoubt)) {
                is Step.Completed -> return step.result
                is Step.Retry -> {
                    inDoubt = step.inDoubt
                    reason = step.reason
                    if (!step.lostRace) failures++
                }
            }
            delay(retryDelay(attempts++))
        }
        return if (inDoubt == null) {
            EditResult.Unavailable(reason)
        } else {
            EditResult.Unresolved(reason)
        }
    }

    /**
     * Makes one attempt. [inDoubt] is the generation as which an earlier attempt may have been
     * accepted, with a write whose outcome is unknown; null if there is none.
     */
    private suspend fun attemptOnce(edit: Edit, attempt: Int, inDoubt: Long?): Step {
        val document = reader.read().getOrElse { return Step.Retry(it, inDoubt) }
        document.accepted(edit.id)?.let { return Step.Completed(EditResult.Accepted(it)) }
        if (inDoubt != null && !document.rulesOut(inDoubt)) {
            return Step.Retry("the write of generation $inDoubt got no response", inDoubt)
        }
        if (edit.changes.any { it.baseVersion > document.manifest.generation }) {
            return Step.Retry("the listing of the store is older than the edit", inDoubt)
        }
        val planned = EditPlanner(document, edit).plan(time.now(), attempt)
        val plan = planned.getOrElse { return Step.Completed(it) }
        for (content in plan.contents) {
            val write =
                resolvingStore.put(content.key, content.value, WriteCondition.Absent, edit.id)
            if (write !is ResolvedWrite.Written) return Step.Retry("content write failed", inDoubt)
        }
        return writeManifest(edit, plan, document, inDoubt)
    }

    private suspend fun writeManifest(
        edit: Edit,
        plan: EditPlan,
        document: StoredDocument,
        inDoubt: Long?,
    ): Step {
        val stillInDoubt = inDoubt.takeIf { it == plan.generation }
        val key = StoredDocument.MANIFEST
        return when (val write = resolvingStore.put(key, plan.manifest, plan.condition, edit.id)) {
            is ResolvedWrite.Written -> {
                deleteOrphans(document)
                Step.Completed(EditResult.Accepted(plan.generation))
            }
            is ResolvedWrite.NotApplied ->
                Step.Retry("lost the race with other edits", stillInDoubt, lostRace = true)
            is ResolvedWrite.Refused -> Step.Retry(write.reason, stillInDoubt)
            is ResolvedWrite.Unresolved -> Step.Retry(write.reason, plan.generation)
        }
    }

    /**
     * Returns whether this state proves that the edit was not accepted as [generation]. While the
     * manifest is one generation behind, the same write may be repeated: at most one of the two can
     * take effect.
     */
    private fun StoredDocument.rulesOut(generation: Long): Boolean {
        val oldestRecent = manifest.recentList.firstOrNull()?.generation ?: 1
        return manifest.generation == generation - 1 ||
            manifest.generation >= generation &&
            oldestRecent <= generation
    }

    /** Deletes orphans of earlier edits. Failures are ignored: the next edit tries again. */
    private suspend fun deleteOrphans(document: StoredDocument) {
        for (orphan in document.orphans.take(MAX_DELETES)) {
            store.delete(orphan.key, WriteCondition.AtVersion(orphan.version))
        }
    }

    private fun retryDelay(attempt: Int): Duration {
        val limit = minOf(INITIAL_DELAY * (1 shl minOf(attempt, MAX_DOUBLINGS)), MAX_DELAY)
        return limit * random.nextDouble(MIN_JITTER, 1.0)
    }

    private fun StoredDocument.accepted(editId: String): Long? =
        manifest.recentList.find { it.editId == editId }?.generation

    private sealed interface Step {
        data class Completed(val result: EditResult) : Step

        data class Retry(val reason: String, val inDoubt: Long?, val lostRace: Boolean = false) :
            Step
    }

    private companion object {
        const val MAX_FAILURES = 10

        // Bounds the lost races, each of which means that another edit was accepted.
        const val MAX_ATTEMPTS = 100
        const val MAX_DOUBLINGS = 6
        const val MAX_DELETES = 4
        const val MIN_JITTER = 0.5
        val INITIAL_DELAY = 20.milliseconds
        val MAX_DELAY = 1000.milliseconds
    }
}
