/** Commands that check and change the document. */
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

/** `validate FILE...`: checks files together with the rest of the document. */
internal class ValidateCommand :
    CtlCommand("validate", "Checks sections with the rest of the document, without changing it.") {
    private val files by argument("FILE").path().multiple(required = true)
    private val offline by option(help = "check only the files themselves").flag()

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

/** `apply FILE...`: makes one edit of one or several sections. */
internal class ApplyCommand :
    CtlCommand("apply", "Edits sections; all files are accepted together or not at all.") {
    private val files by argument("FILE").path().multiple(required = true)
    private val note by option(help = "why, for the history").default("")
    private val editId by option(help = "id of an earlier try whose answer was lost")

    override suspend fun execute() {
        apply(edit(files.map { EditChange.Write(readSection(it)) }, note, editId))
    }
}

/** `remove SECTION`: removes a section. */
internal class RemoveCommand : CtlCommand("remove", "Removes a section.") {
    private val section by argument("SECTION")
    private val version by option(help = "version that is meant").long().required()
    private val note by option(help = "why, for the history").default("")
    private val editId by option(help = "id of an earlier try whose answer was lost")

    override suspend fun execute() {
        apply(edit(listOf(EditChange.Remove(section, version)), note, editId))
    }
}

/** `rollback SECTION --to VERSION`: a new edit with the text of an earlier version. */
internal class RollbackCommand :
    CtlCommand("rollback", "Makes a new edit with the text that a section had before.") {
    private val section by argument("SECTION")
    private val to by option(help = "version whose text comes back").long().required()
    private val editId by option(help = "id of an earlier try whose answer was lost")

    override suspend fun execute() {
        val document = session.document()
        val content = document.contents[section]
            ?: throw CtlFailure.plain("there is no section $section")
        val old = SectionHistory.at(content, to)
            ?: throw CtlFailure.plain("the history of $section has no version $to")
        val text = old.toBuilder().setVersion(document.version(section)).build()
        apply(edit(listOf(EditChange.Write(text)), "rollback to $to", editId))
    }
}
