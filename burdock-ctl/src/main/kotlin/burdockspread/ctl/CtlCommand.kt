/** Base class of the subcommands. */
package burdockspread.ctl

import burdockspread.document.PathDifference
import burdockspread.document.SectionReader
import burdockspread.document.edit.Edit
import burdockspread.document.edit.EditChange
import burdockspread.document.edit.EditResult
import burdockspread.error.ErrorCode
import burdockspread.wire.document.Section
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A subcommand that may suspend on calls to the store or to hosts. */
internal abstract class CtlCommand(name: String, private val summary: String) : CliktCommand(name) {
    protected val session: CtlSession by requireObject()

    override fun help(context: Context): String = summary

    override fun run(): Unit = runBlocking { execute() }

    protected abstract suspend fun execute()

    /** Reads a section from a file; throws [CtlFailure] with all validation problems. */
    protected fun readSection(file: Path): Section {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            throw CtlFailure.generic("cannot read $file: ${e.message}")
        }
        return SectionReader.parse("$file", text).fold(
            { throw CtlFailure.refused(ErrorCode.SECTION_INVALID, it.map { p -> "$p" }) },
            { it },
        )
    }

    protected fun edit(changes: List<EditChange>, note: String, id: String? = null): Edit = Edit(
        id ?: newEditId(),
        session.settings.team,
        session.editorName,
        note,
        changes.toImmutableList(),
    )

    /** Submits the edit and prints its outcome. */
    protected suspend fun apply(edit: Edit) {
        when (val result = session.editor.apply(edit)) {
            is EditResult.Accepted -> echo("accepted as version ${result.generation}")
            is EditResult.Refused -> throw failure(result)
            is EditResult.Unresolved -> throw CtlFailure.refused(
                ErrorCode.WRITE_UNRESOLVED,
                listOf(result.reason, "run the command again with --edit-id ${edit.id}"),
            )
        }
    }

    protected fun failure(result: EditResult.Refused): CtlFailure {
        val lines = when (result) {
            is EditResult.Invalid -> result.problems.map { it.toString() }
            is EditResult.NotOwner ->
                listOf("${result.section} belongs to ${result.owner}, not ${session.settings.team}")
            is EditResult.Unavailable -> listOf(result.reason)
            is EditResult.Conflict -> conflict(result)
        }
        return CtlFailure.refused(result.code, lines)
    }

    private fun conflict(conflict: EditResult.Conflict): List<String> {
        val heading = "${conflict.section}: the edit is based on ${conflict.baseVersion}, " +
            "the version in force is ${conflict.current}"
        return listOf(heading) + describe(conflict.differences)
    }

    protected fun describe(differences: List<PathDifference>): List<String> =
        differences.flatMap { difference ->
            listOf(
                difference.path + if (difference.isConflict) " (changed on both sides)" else "",
                "  base   ${difference.base ?: ABSENT}",
                "  theirs ${difference.theirs ?: ABSENT}",
                "  yours  ${difference.yours ?: ABSENT}",
            )
        }

    private fun newEditId(): String =
        session.environment.random.nextLong().toULong().toString(radix = 36)

    private companion object {
        const val ABSENT = "-"
    }
}
