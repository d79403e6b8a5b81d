/** The root command of the operator CLI. */
package burdockspread.ctl

import burdockspread.settings.ExitCode
import burdockspread.settings.PROGRAM_VERSION
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.path

/** The `burdockctl` command, which edits the document and shows the state of the fleet. */
public class BurdockCtl private constructor(private val environment: CtlEnvironment) :
    CliktCommand("burdockctl") {
    init {
        versionOption(PROGRAM_VERSION)
    }

    private val config by option(envvar = "BURDOCKCTL_CONFIG", help = "JSON settings file").path()

    override fun help(context: Context): String =
        "Edits the operators' document and shows the state of the fleet."

    override fun run() {
        currentContext.obj = CtlSession(environment, config)
    }

    public companion object {
        /** Creates the root command with all of its subcommands. */
        public fun create(environment: CtlEnvironment): CliktCommand =
            BurdockCtl(environment).subcommands(
                ValidateCommand(),
                GetCommand(),
                ListCommand(),
                DiffCommand(),
                ApplyCommand(),
                RemoveCommand(),
                HistoryCommand(),
                RollbackCommand(),
                RolloutCommand(),
                FleetCommand(),
                DumpCommand(),
                DrainCommand(),
                QuarantineCommand(),
                LiftCommand(),
                ExplainCommand(),
                CheckConfigCommand(),
            )

        /** Runs one command and returns its exit status. */
        public fun run(environment: CtlEnvironment, args: List<String>): Int {
            val command = create(environment)
            return try {
                command.parse(args)
                ExitCode.OK.status
            } catch (e: UsageError) {
                command.echoFormattedHelp(e)
                ExitCode.USAGE.status
            } catch (e: CliktError) {
                command.echoFormattedHelp(e)
                e.statusCode
            }
        }
    }
}
