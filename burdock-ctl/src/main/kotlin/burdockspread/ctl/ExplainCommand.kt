/** `explain`: tells the story of one request from the logs of several hosts. */
package burdockspread.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

/** `explain ID FILE...`: the decisions on a request, what its hosts learnt then, the cause. */
internal class ExplainCommand :
    CtlCommand("explain", "Tells what became of a request, from log files of one or more hosts.") {
    private val id by argument("ID")
    private val files by argument("FILE").path().multiple(required = true)

    override suspend fun execute() {
        val lines = files.flatMap(::read)
        val story = RequestStory.of(id, lines)
            ?: throw CtlFailure.plain("no line of ${files.size} files names the request $id")
        story.lines().forEach { echo(it) }
    }

    private fun read(file: Path): List<LogLine> = try {
        Files.readAllLines(file).mapNotNull { LogLine.parse(file.name, it) }
    } catch (e: IOException) {
        throw CtlFailure.plain("$file cannot be read: ${e.message}")
    }
}
