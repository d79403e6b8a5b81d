/** Commands that call hosts. */
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

/** `fleet`: shows the health of the fleet as reported by one host. */
internal class FleetCommand : CtlCommand("fleet", "Shows the health of the fleet.") {
    private val json by option(help = "print the report as JSON").flag()

    override suspend fun execute() {
        val fleet = FleetClient(session.operatorClient, session.settings.hostsList)
        if (json) {
            echo(fleet.firstReportJson())
        } else {
            FleetView(fleet.firstReport()).lines().forEach { echo(it) }
        }
    }
}

/** `rollout SECTION`: shows which hosts have a version of a section in force. */
internal class RolloutCommand :
    CtlCommand("rollout", "Shows which hosts have a version of a section in force and which lag.") {
    private val section by argument("SECTION")
    private val version by option(help = "the version; defaults to the one in force").long()
    private val wait by option(help = "wait until it is in force on all hosts").flag()
    private val timeout by option(help = "wait limit in seconds").double().default(TIMEOUT_SECONDS)

    override suspend fun execute() {
        val reader = RolloutReader(session)
        val requestedVersion = version ?: reader.currentVersion(section)
        var rollout = reader.read(section, requestedVersion)
        var waited = 0.seconds
        while (wait && !rollout.isComplete && waited < timeout.seconds) {
            delay(POLL_INTERVAL)
            waited += POLL_INTERVAL
            rollout = reader.read(section, requestedVersion)
        }
        RolloutView(rollout).lines().forEach { echo(it) }
        if (!rollout.isComplete) throw ProgramResult(ExitCode.REFUSED.status)
    }

    private companion object {
        const val TIMEOUT_SECONDS = 30.0
        val POLL_INTERVAL = 500.milliseconds
    }
}

/** `dump IP:PORT`: prints the state of a process. */
internal class DumpCommand : CtlCommand("dump", "Prints the state of a process as JSON.") {
    private val address by argument("IP:PORT")

    override suspend fun execute() {
        echo(session.operatorClient.get(address, "/state").bodyOrThrow(address))
    }
}

/** `drain IP:PORT`: starts the graceful shutdown of a process. */
internal class DrainCommand : CtlCommand("drain", "Starts the graceful shutdown of a process.") {
    private val address by argument("IP:PORT")

    override suspend fun execute() {
        echo(session.operatorClient.post(address, "/drain").bodyOrThrow(address))
    }
}

/** `quarantine IP:PORT`: prints the prompts that a forwarder refuses. */
internal class QuarantineCommand :
    CtlCommand("quarantine", "Prints the parts of prompts that a forwarder refuses, as JSON.") {
    private val address by argument("IP:PORT")

    override suspend fun execute() {
        echo(session.operatorClient.get(address, "/quarantine").bodyOrThrow(address))
    }
}

/** `lift IP:PORT VERDICT`: ends the refusal of a prompt on all hosts. */
internal class LiftCommand : CtlCommand("lift", "Lifts a verdict of the quarantine on all hosts.") {
    private val address by argument("IP:PORT")
    private val verdict by argument("VERDICT")

    override suspend fun execute() {
        val path = "/quarantine/lift/$verdict"
        echo(session.operatorClient.post(address, path).bodyOrThrow(address))
    }
}

/** `check-config`: validates the settings file. */
internal class CheckConfigCommand : CtlCommand("check-config", "Validates the settings file.") {
    override suspend fun execute() {
        session.settings
        echo("valid")
    }
}

internal fun OperatorReply.bodyOrThrow(address: String): String = when (this) {
    is OperatorReply.Body -> text
    is OperatorReply.Failed -> throw CtlFailure.generic("$address: $reason")
}
