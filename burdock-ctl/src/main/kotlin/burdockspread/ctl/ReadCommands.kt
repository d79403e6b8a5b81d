/** Commands that show the document. */
package burdockspread.ctl

import burdockspread.document.CanonicalJson
import burdockspread.document.SectionDiff
import burdockspread.document.edit.SectionHistory
import burdockspread.wire.document.Revision
import burdockspread.wire.document.Section
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlin.time.Instant

/** `get SECTION`: prints a section in the file format that `apply` accepts. */
internal class GetCommand : CtlCommand("get", "Prints a section in the format of apply.") {
    private val section by argument("SECTION")
    private val version by option(help = "an earlier version from the history").long()

    override suspend fun execute() {
        val content = session.document().contents[section]
            ?: throw CtlFailure.generic("section $section does not exist")
        val requestedVersion = version ?: content.section.version
        val text = SectionHistory.at(content, requestedVersion)
            ?: throw CtlFailure.generic("the history of $section has no version $requestedVersion")
        echo(CanonicalJson.writeIndented(text, requestedVersion))
    }
}

/** `list`: lists the sections with owner, version, time of the last change and last editor. */
internal class ListCommand : CtlCommand("list", "Lists the sections.") {
    override suspend fun execute() {
        val table = TextTable("section", "owner", "version", "changed", "by")
        for ((name, content) in session.document().contents.toSortedMap()) {
            val revision = content.current
            table.addRow(
                name,
                content.section.owner,
                "${content.section.version}",
                timeText(revision),
                revision.editor,
            )
        }
        echo(table.render())
    }
}

/** `diff FILE`: shows what an edit would change. */
internal class DiffCommand : CtlCommand("diff", "Shows what applying a file would change.") {
    private val file by argument("FILE").path()

    override suspend fun execute() {
        val yours = readSection(file)
        val content = session.document().contents[yours.name]
        val theirs = content?.section ?: Section.getDefaultInstance()
        val base = content?.let { SectionHistory.at(it, yours.version) }
        if (yours.version != theirs.version) {
            echo("the file is based on version ${yours.version}; in force is ${theirs.version}")
        }
        val differences = SectionDiff.threeWay(base, theirs, yours)
        if (differences.isEmpty()) echo("no difference")
        describe(differences).forEach { echo(it) }
    }
}

/** `history SECTION`: shows who changed a section and when. */
internal class HistoryCommand : CtlCommand("history", "Shows who changed a section and when.") {
    private val section by argument("SECTION")

    override suspend fun execute() {
        val content = session.document().contents[section]
            ?: throw CtlFailure.generic("section $section does not exist")
        val table = TextTable("version", "changed", "by", "note")
        for (revision in listOf(content.current) + content.historyList) {
            table.addRow("${revision.version}", timeText(revision), revision.editor, revision.note)
        }
        echo(table.render())
    }
}

private fun timeText(revision: Revision): String =
    Instant.fromEpochSeconds(revision.at.seconds).toString()
