/** Commands that validate and change the document. */
package burdockspread.ctl

import burdockspread.document.SectionReader
import burdockspread.document.edit.EditChange
import burdockspread.document.edit.SectionHistory
import burdockspread.error.ErrorCode
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path

/** `validate FILE...`: validates files together with the rest of the document. */
internal class ValidateCommand :
    CtlCommand("validate", "Validates sections with the rest of the document, without an edit.") {
    private val files by argument("FILE").path().multiple(required = true)
    private val offline by option(help = "validate the files alone, without the store").flag()

    override suspend fun execute() {
        val sections = files.map { readSection(it) }
        if (offline) {
            val problems = sections.flatMap { section ->
                SectionReader.read(section).fold({ it }, { emptyList() })
            }
            if (problems.isNotEmpty()) {
                throw CtlFailure.refused(ErrorCode.SECTION_INVALID, problems.map { "$it" })
            }
        } else {
            val edit = edit(sections.map { EditChange.Write(it) }, note = "")
            session.editor.validate(edit)?.let { throw failure(it) }
        }
        echo("valid")
    }
}

/** `apply FILE...`: submits one edit of one or more sections. */
internal class ApplyCommand :
    CtlCommand("apply", "Edits sections atomically: accepts all files or none.") {
    private val files by argument("FILE").path().multiple(required = true)
    private val note by option(help = "reason, kept in the history").default("")
    private val editId by option(help = "id of an earlier attempt whose response was lost")

    override suspend fun execute() {
        apply(edit(files.map { EditChange.Write(readSection(it)) }, note, editId))
    }
}

/** `remove SECTION`: removes a section. */
internal class RemoveCommand : CtlCommand("remove", "Removes a section.") {
    private val section by argument("SECTION")
    private val version by option(help = "expected version of the section").long().required()
    private val note by option(help = "reason, kept in the history").default("")
    private val editId by option(help = "id of an earlier attempt whose response was lost")

    override suspend fun execute() {
        apply(edit(listOf(EditChange.Remove(section, version)), note, editId))
    }
}

/** `rollback SECTION --to VERSION`: submits an edit that restores an earlier version. */
internal class RollbackCommand :
    CtlCommand("rollback", "Restores an earlier version of a section with a new edit.") {
    private val section by argument("SECTION")
    private val to by option(help = "version to restore").long().required()
    private val editId by option(help = "id of an earlier attempt whose response was lost")

    override suspend fun execute() {
        val document = session.document()
        val content = document.contents[section]
            ?: throw CtlFailure.generic("section $section does not exist")
        val old = SectionHistory.at(content, to)
            ?: throw CtlFailure.generic("the history of $section has no version $to")
        val text = old.toBuilder().setVersion(document.version(section)).build()
        apply(edit(listOf(EditChange.Write(text)), "rollback to $to", editId))
    }
}
