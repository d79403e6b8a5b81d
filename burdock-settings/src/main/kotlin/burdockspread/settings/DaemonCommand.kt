/** Command line shared by the daemons. */
package burdockspread.settings

import burdockspread.json.JsonProblem
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import com.google.protobuf.Message
import org.apache.logging.log4j.LogManager

/** Reloads a daemon's settings; returns null when they are invalid. */
public typealias Reload<M> = () -> M?

/**
 * Command line of a daemon. `--config FILE` runs it; `--config FILE check-config` only validates
 * the file.
 *
 * @param M protobuf message type of the settings.
 */
public class DaemonCommand<M : Message>(
    name: String,
    private val description: String,
    private val loader: SettingsLoader<M>,
    private val daemon: (M, Reload<M>) -> ExitCode,
) : CliktCommand(name) {
    init {
        versionOption(VERSION)
    }

    private val config by option(help = "settings file in JSON").path().required()
    private val action by argument(help = "instead of running").choice(CHECK_ACTION).optional()

    override fun help(context: Context): String = description

    override fun run() {
        val exit = loader.load(config).fold(::reportProblems) {
            if (action ==
                CHECK_ACTION
            ) {
                reportValid()
            } else {
                daemon(it, ::reload)
            }
        }
        throw ProgramResult(exit.status)
    }

    private fun reportProblems(problems: List<JsonProblem>): ExitCode {
        problems.forEach { echo("$config: $it", err = true) }
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

    private fun reportValid(): ExitCode {
        echo("$config: valid")
        return ExitCode.OK
    }

    public companion object {
        /** Version of all the programs. */
        public const val VERSION: String = "0.1.0"
        private const val CHECK_ACTION = "check-config"
    }
}
