/** Command line shared by the daemons. */
package burdockspread.settings

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import com.google.protobuf.Message
import java.nio.file.Path
import kotlin.system.exitProcess

/** Version of all the programs. */
public const val PROGRAM_VERSION: String = "0.1.0"

/**
 * Command line of a daemon. `--config FILE` runs it; `--config FILE check-config` only validates
 * the file.
 *
 * @param M protobuf message type of the settings.
 */
internal class DaemonCommand<M : Message>(
    name: String,
    private val description: String,
    private val loader: SettingsLoader<M>,
    private val program: (M, Reload<M>) -> ExitCode,
) : CliktCommand(name) {
    init {
        versionOption(PROGRAM_VERSION)
    }

    private val config by option(help = "settings file in JSON").path().required()
    private val action by argument(help = "instead of running").choice(CHECK_ACTION).optional()

    override fun help(context: Context): String = description

    override fun run() {
        val daemon = Daemon(config, loader) { echo(it, err = true) }
        val exit = if (action == CHECK_ACTION) checkConfig(daemon) else daemon.run(program)
        throw ProgramResult(exit.status)
    }

    private fun checkConfig(daemon: Daemon<M>): ExitCode =
        daemon.run { _, _ -> ExitCode.OK.also { echo("$config: valid") } }

    private companion object {
        private const val CHECK_ACTION = "check-config"
    }
}

/**
 * Entry point of a daemon: runs [program] with the settings that [args] name.
 *
 * The usual arguments, `--config FILE`, are recognized directly, which saves loading the command
 * line at each start.
 */
public fun <M : Message> daemonMain(
    args: Array<String>,
    name: String,
    description: String,
    loader: SettingsLoader<M>,
    program: (M, Reload<M>) -> ExitCode,
) {
    if (args.size == 2 && args[0] == "--config") {
        exitProcess(Daemon(Path.of(args[1]), loader, System.err::println).run(program).status)
    }
    DaemonCommand(name, description, loader, program).main(args)
}
