/** Commands that speak with hosts. */
package burdockspread.ctl

import burdockspread.settings.ExitCode
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** `fleet`: shows the health of the fleet as one host sees it. */
internal class FleetCommand : CtlCommand("fleet", "Shows the health of the fleet.") {
    private val json by option(help = "print the report as JSON").flag()

    override suspend fun execute() {
        val fleet = FleetClient(session.operators, session.settings.hostsList)
        if (json) {
            echo(fleet.firstText())
        } else {
            FleetView(fleet.first()).lines().forEach { echo(it) }
        }
    }
}

/** `rollout SECTION`: shows which hosts work by a version of a section. */
internal class RolloutCommand :
    CtlCommand("rollout", "Shows which hosts work by a version of a section and which lag.") {
    private val section by argument("SECTION")
    private val version by option(help = "the version; the one in force by default").long()
    private val wait by option(help = "wait until all hosts work by it").flag()
    private val timeout by option(help = "longest wait in seconds").double().default(DEFAULT_WAIT)

    override suspend fun execute() {
        val reader = RolloutReader(session)
        val wanted = version ?: reader.currentVersion(section)
        var rollout = reader.read(section, wanted)
        var waited = 0.seconds
        while (wait && !rollout.isComplete && waited < timeout.seconds) {
            delay(POLL)
            waited += POLL
            rollout = reader.read(section, wanted)
        }
        RolloutView(rollout).lines().forEach { echo(it) }
        if (!rollout.isComplete) throw ProgramResult(ExitCode.REFUSED.status)
    }

    private companion object {
        const val DEFAULT_WAIT = 30.0
        val POLL = 500.milliseconds
    }
}

/** `dump HOST`: prints the state of a process. */
internal class DumpCommand : CtlCommand("dump", "Prints the state of a process as JSON.") {
    private val address by argument("IP:PORT")

    override suspend fun execute() {
        echo(session.operators.get(address, "/state").textOrFail(address))
    }
}

/** `drain HOST`: starts a graceful shutdown. */
internal class DrainCommand : CtlCommand("drain", "Starts the graceful shutdown of a process.") {
    private val address by argument("IP:PORT")

    override suspend fun execute() {
        echo(session.operators.post(address, "/drain").textOrFail(address))
    }
}

/** `check-config`: checks the settings. */
internal class CheckConfigCommand : CtlCommand("check-config", "Checks the settings file.") {
    override suspend fun execute() {
        session.settings
        echo("valid")
    }
}

internal fun OperatorReply.textOrFail(address: String): String = when (this) {
    is OperatorReply.Body -> text
    is OperatorReply.Failed -> throw CtlFailure.plain("$address: $reason")
}
