/** Running of a program with the settings of a file. */
package burdockspread.settings

import burdockspread.json.JsonProblem
import com.google.protobuf.Message
import org.apache.logging.log4j.LogManager
import java.nio.file.Path

/** Reloads a daemon's settings; returns null when they are invalid. */
public typealias Reload<M> = () -> M?

/** Loads the settings in [config]; [onProblem] receives a line for each error in them. */
internal class Daemon<M : Message>(
    private val config: Path,
    private val loader: SettingsLoader<M>,
    private val onProblem: (String) -> Unit,
) {
    fun run(program: (M, Reload<M>) -> ExitCode): ExitCode =
        loader.load(config).fold(::reportProblems) { program(it, ::reload) }

    private fun reportProblems(problems: List<JsonProblem>): ExitCode {
        problems.forEach { onProblem("$config: $it") }
        return ExitCode.SETTINGS_INVALID
    }

    /** Reloads the settings. Invalid settings are logged and the current ones stay in use. */
    private fun reload(): M? = loader.load(config).fold(
        { problems ->
            problems.forEach { LogManager.getLogger("main").warn("{}: {}", config, it) }
            null
        },
        { it },
    )
}
