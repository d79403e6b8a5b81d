/** Starts and stops the real processes of a small fleet on the loopback interface. */
package burdockspread.demo

import kotlinx.collections.immutable.toImmutableList
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The processes of a fleet, each with a log file in [directory].
 *
 * @param root root directory of the built project.
 */
public class Fleet(
    private val root: Path,
    private val directory: Path,
    public val layout: FleetLayout,
    private val tokenMillis: Int = 20,
) : AutoCloseable {
    /** Settings files and document sections of this fleet. */
    public val document: FleetDocument = FleetDocument(layout)

    /** Runner of burdockctl for the teams that edit the document. */
    public val teams: TeamDocumentEditor = TeamDocumentEditor(this, directory)
    private val processes = LinkedHashMap<String, Process>()
    private val http = HttpClient.newHttpClient()

    /** Starts the fakes of the external systems and waits until they respond. */
    public fun startFakes() {
        start("store", fakeCommand("object-api", layout.store))
        layout.engines.forEach { startEngine(it) }
        start("desk", fakeCommand("order-desk", layout.desk))
        val addresses = listOf(layout.desk) + layout.engines.map { it.address }
        addresses.forEach { awaitSuccess("http://$it/health") }
        awaitSuccess("http://${layout.store}$SECTIONS_PATH")
    }

    /** Starts the process of a fake engine. */
    public fun startEngine(engine: EngineLayout) {
        val options = listOf("--token-millis", "$tokenMillis", "--slots", "${layout.batchSlots}")
        start(engine.name, fakeCommand("engine", engine.address) + options)
    }

    /** Starts the process of an entry host. */
    public fun startEntry(entry: EntryLayout) {
        val file = Files.writeString(
            directory.resolve("${entry.name}.json"),
            document.settings(entry),
        )
        val command = listOf("$root/bin/burdock-entry", "--config", "$file")
        start(entry.name, command)
    }

    /** Starts the process of a steward. */
    public fun startSteward(steward: StewardLayout) {
        val file = directory.resolve("${steward.name}.json")
        Files.writeString(file, document.settings(steward))
        start(steward.name, listOf("$root/bin/burdock-steward", "--config", "$file"))
    }

    /** Waits until all entry hosts are ready. */
    public fun awaitReady() {
        layout.entries.forEach { awaitSuccess("http://${it.caller}/readyz") }
    }

    /** Runs a program of the project to completion and returns its output. */
    public fun run(vararg command: String): ProgramOutput {
        val line = listOf("$root/bin/${command.first()}") + command.drop(1)
        val process = ProcessBuilder(line).redirectErrorStream(true).start()
        val text = process.inputStream.bufferedReader().readText()
        return ProgramOutput(process.waitFor(), text)
    }

    /** Sends the signal [name] to the process [process]. */
    public fun signal(process: String, name: String) {
        val pid = processes.getValue(process).pid()
        check(ProcessBuilder("kill", "-$name", "$pid").start().waitFor() == 0)
    }

    /** Returns the process id of the process [name]. */
    public fun pid(name: String): Long = processes.getValue(name).pid()

    /** Kills the process [name] with SIGKILL and waits until it has exited. */
    public fun kill(name: String) {
        val process = processes.getValue(name)
        process.destroyForcibly()
        process.waitFor()
    }

    /** Sends SIGTERM to the process [name], waits for its exit and returns its exit status. */
    public fun terminate(name: String): Int {
        val process = processes.getValue(name)
        process.destroy()
        check(process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "$name did not exit" }
        return process.exitValue()
    }

    /** Sends a GET request to [url]. */
    public fun get(url: String): HttpResponse<String> =
        http.send(HttpRequest.newBuilder(URI(url)).build(), HttpResponse.BodyHandlers.ofString())

    /** Sends a POST request without a body to [url]. */
    public fun post(url: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.noBody())
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Polls until [condition] returns true; fails after [timeout]. */
    public fun await(what: String, timeout: Duration = START_TIMEOUT, condition: () -> Boolean) {
        val start = TimeSource.Monotonic.markNow()
        while (!condition()) {
            check(start.elapsedNow() < timeout) { "no $what within $timeout; logs in $directory" }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    /** Returns the current log of the process [name]. */
    public fun log(name: String): String = Files.readString(directory.resolve("$name.log"))

    override fun close() {
        val running = processes.values.toImmutableList().filter { it.isAlive }
        running.forEach { it.destroyForcibly() }
        running.forEach { it.waitFor() }
    }

    private fun start(name: String, command: List<String>) {
        val log = directory.resolve("$name.log").toFile()
        val builder = ProcessBuilder(command).redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        processes[name] = builder.start()
    }

    private fun fakeCommand(kind: String, address: String): List<String> =
        listOf("$root/bin/stand-in", kind, "--port", "${Ports.portOf(address)}")

    private fun awaitSuccess(url: String): Unit = await("response from $url") {
        runCatching { get(url).statusCode() == OK }.getOrDefault(false)
    }

    private companion object {
        const val OK = 200
        const val STOP_TIMEOUT_SECONDS = 60L
        const val SECTIONS_PATH = "/apis/burdockspread.io/v1/namespaces/demo/sections"
        val START_TIMEOUT = 60.seconds
        val POLL_INTERVAL = 20.milliseconds
    }
}

/** Exit status and combined output of a program. */
public data class ProgramOutput(public val status: Int, public val text: String)
