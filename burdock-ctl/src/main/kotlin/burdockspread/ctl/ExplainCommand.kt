/** `explain`: reconstructs the timeline of one request from the logs of several hosts. */
package burdockspread.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

/** `explain ID FILE...`: prints the decisions on a request, related host events and the cause. */
internal class ExplainCommand :
    CtlCommand("explain", "Explains the outcome of a request from the log files of hosts.") {
    private val id by argument("ID")
    private val files by argument("FILE").path().multiple(required = true)

    override suspend fun execute() {
        val lines = files.flatMap(::read)
        val timeline = RequestTimeline.of(id, lines)
            ?: throw CtlFailure.generic("no line of ${files.size} files names the request $id")
        timeline.lines().forEach { echo(it) }
    }

    private fun read(file: Path): List<LogLine> = try {
        Files.readAllLines(file).mapNotNull { LogLine.parse(file.name, it) }
    } catch (e: IOException) {
        throw CtlFailure.generic("cannot read $file: ${e.message}")
    }
}
