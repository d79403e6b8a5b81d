/** Validation of an edit and planning of its writes. */
package burdockspread.document.edit

import arrow.core.Either
import arrow.core.nonEmptyListOf
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.toNonEmptyListOrNull
import burdockspread.document.CanonicalJson
import burdockspread.document.DocumentProblem
import burdockspread.document.DocumentValidator
import burdockspread.document.SectionBody
import burdockspread.document.SectionDiff
import burdockspread.document.SectionReader
import burdockspread.json.ProtoJson
import burdockspread.store.ObjectStore
import burdockspread.store.WriteCondition
import burdockspread.wire.document.AcceptedEdit
import burdockspread.wire.document.Manifest
import burdockspread.wire.document.ManifestEntry
import burdockspread.wire.document.Revision
import burdockspread.wire.document.Section
import com.google.protobuf.Timestamp
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Instant

/** Validates an edit against a state of the document and plans its writes. */
internal class EditPlanner(private val document: StoredDocument, private val edit: Edit) {
    private val generation = document.manifest.generation + 1

    /** Plans the edit. The number of the [attempt] makes content keys of retries unique. */
    fun plan(now: Instant, attempt: Int): Either<EditResult.Refused, EditPlan> = either {
        validate()
        val contents = edit.changes.filterIsInstance<EditChange.Write>().map { change ->
            planContent(change, now, attempt)
        }
        EditPlan(
            generation,
            contents.toImmutableList(),
            ProtoJson.writeLine(nextManifest(contents)),
            document.manifestVersion?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent,
        )
    }

    /** Validates the edit without planning its writes. */
    fun validate(): Either<EditResult.Refused, Unit> = either { validate() }

    private fun Raise<EditResult.Refused>.validate() {
        edit.changes.forEach { checkOwner(it) }
        edit.changes.forEach { checkBase(it) }
        val problems = problems().toNonEmptyListOrNull()
        if (problems != null) raise(EditResult.Invalid(problems))
    }

    private fun Raise<EditResult.Refused>.checkOwner(change: EditChange) {
        val root = document.section(DocumentValidator.ROOT) ?: return
        val owner = root.root.sectionsList.find { it.name == change.section }?.owner ?: return
        ensure(owner == edit.team) { EditResult.NotOwner(change.section, owner) }
    }

    private fun Raise<EditResult.Refused>.checkBase(change: EditChange) {
        val current = document.version(change.section)
        if (change.baseVersion == current) return
        val content = document.contents[change.section]
        val theirs = content?.section ?: Section.getDefaultInstance()
        val base = content?.let { SectionHistory.at(it, change.baseVersion) }
        val yours = when (change) {
            is EditChange.Write -> change.newSection
            is EditChange.Remove -> Section.getDefaultInstance()
        }
        val differences = SectionDiff.threeWay(base, theirs, yours)
        raise(EditResult.Conflict(change.section, change.baseVersion, current, differences))
    }

    private fun problems(): List<DocumentProblem> {
        val problems = ArrayList<DocumentProblem>()
        val bodies = LinkedHashMap<String, SectionBody>()
        for ((name, content) in document.contents) {
            SectionReader.read(content.section).fold(problems::addAll) { bodies[name] = it }
        }
        for (change in edit.changes) {
            when (change) {
                is EditChange.Remove -> bodies.remove(change.section)
                is EditChange.Write ->
                    SectionReader.read(change.newSection).fold(problems::addAll) {
                        bodies[change.section] = it
                    }
            }
        }
        problems += DocumentValidator.validate(bodies.values)
        problems += ownerProblems(bodies)
        problems += duplicateChanges()
        return problems
    }

    /** Checks that each edited section has the owner that section root lists for it. */
    private fun ownerProblems(bodies: Map<String, SectionBody>): List<DocumentProblem> {
        val owners = bodies[DocumentValidator.ROOT]?.owners.orEmpty()
            .associate { it.section to it.owner }
        return edit.changes.mapNotNull { bodies[it.section] }.mapNotNull { body ->
            val owner = owners[body.name] ?: return@mapNotNull null
            if (owner == body.owner) return@mapNotNull null
            val message = "\"${body.owner}\" differs from \"$owner\" in section root"
            DocumentProblem(body.name, "owner", message)
        }
    }

    private fun duplicateChanges(): List<DocumentProblem> = edit.changes
        .groupBy { it.section }
        .filterValues { it.size > 1 }
        .map { (name, _) ->
            DocumentProblem(name, "", "the edit changes the section more than once")
        }

    private fun Raise<EditResult.Refused>.planContent(
        change: EditChange.Write,
        now: Instant,
        attempt: Int,
    ): PlannedContent {
        val revision = Revision.newBuilder()
            .setVersion(generation)
            .setEditor(edit.editor)
            .setAt(Timestamp.newBuilder().setSeconds(now.epochSeconds))
            .setNote(edit.note)
            .build()
        val next = CanonicalJson.normalise(change.newSection, generation)
        val content = SectionHistory.extend(document.contents[change.section], next, revision)
        val value = ProtoJson.writeLine(content)
        val size = value.encodeToByteArray().size
        if (size > ObjectStore.MAX_VALUE_BYTES) {
            val message = "$size bytes with history exceed ${ObjectStore.MAX_VALUE_BYTES} bytes"
            raise(tooLarge(change.section, message))
        }
        val base = document.manifestVersion ?: 0
        val key = ContentKey(change.section, base, "${edit.id}-$attempt").key
        return PlannedContent(key, value)
    }

    private fun tooLarge(section: String, message: String) =
        EditResult.Invalid(nonEmptyListOf(DocumentProblem(section, "", message)))

    private fun nextManifest(contents: List<PlannedContent>): Manifest {
        val changed = edit.changes.mapTo(HashSet()) { it.section }
        val kept = document.manifest.sectionsList.filterNot { it.section in changed }
        val names = contents.associateBy { it.key.name.substringBefore('.') }
        val written = edit.changes.map { change ->
            ManifestEntry.newBuilder()
                .setSection(change.section)
                .setVersion(generation)
                .setContent(names[change.section]?.key?.name.orEmpty())
                .build()
        }
        val accepted = AcceptedEdit.newBuilder().setGeneration(generation).setEditId(edit.id)
        return Manifest.newBuilder()
            .setGeneration(generation)
            .addAllSections((kept + written).sortedBy { it.section })
            .addAllRecent(document.manifest.recentList.takeLast(MAX_RECENT - 1))
            .addRecent(accepted)
            .build()
    }

    companion object {
        /** Recent edits kept in the manifest, to resolve edits whose response was lost. */
        const val MAX_RECENT = 64
    }
}
