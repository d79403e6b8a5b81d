/** Starts and stops the real processes of a small fleet on loopback. */
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
 * The processes of one fleet. Each writes its log to a file in [directory].
 *
 * @param root folder of the built project.
 */
public class Fleet(
    private val root: Path,
    private val directory: Path,
    public val layout: FleetLayout,
    private val tokenMillis: Int = 20,
) : AutoCloseable {
    /** The settings and the document of this fleet. */
    public val document: FleetDocument = FleetDocument(layout)

    /** The teams that edit the document. */
    public val teams: DocumentTeams = DocumentTeams(this, directory)
    private val processes = LinkedHashMap<String, Process>()
    private val http = HttpClient.newHttpClient()

    /** Starts the stand-ins of the outside systems. */
    public fun startStandIns() {
        start("store", standIn("object-api", layout.store))
        layout.engines.forEach { startEngine(it) }
        start("desk", standIn("order-desk", layout.desk))
        val addresses = listOf(layout.desk) + layout.engines.map { it.address }
        addresses.forEach { awaitOk("http://$it/health") }
        awaitOk("http://${layout.store}$SECTIONS_PATH")
    }

    /** Starts the process of one engine. */
    public fun startEngine(engine: EngineLayout) {
        val options = listOf("--token-millis", "$tokenMillis", "--slots", "${layout.batchSlots}")
        start(engine.name, standIn("engine", engine.address) + options)
    }

    /** Starts the process of one entry host. */
    public fun startEntry(entry: EntryLayout) {
        val file = Files.writeString(
            directory.resolve("${entry.name}.json"),
            document.settings(entry),
        )
        val command = listOf("$root/bin/burdock-entry", "--config", "$file")
        start(entry.name, command)
    }

    /** Starts the process of one steward. */
    public fun startSteward(steward: StewardLayout) {
        val file = directory.resolve("${steward.name}.json")
        Files.writeString(file, document.settings(steward))
        start(steward.name, listOf("$root/bin/burdock-steward", "--config", "$file"))
    }

    /** Waits until all entry hosts are ready. */
    public fun awaitReady() {
        layout.entries.forEach { awaitOk("http://${it.caller}/readyz") }
    }

    /** Runs a program of the project to its end and returns what it printed. */
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

    /** Process id of the process [name]. */
    public fun pid(name: String): Long = processes.getValue(name).pid()

    /** Kills the process [name] at once, as SIGKILL does, and waits until it is gone. */
    public fun kill(name: String) {
        val process = processes.getValue(name)
        process.destroyForcibly()
        process.waitFor()
    }

    /** Asks the process [name] to stop by SIGTERM and returns its exit status. */
    public fun terminate(name: String): Int {
        val process = processes.getValue(name)
        process.destroy()
        check(process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "$name does not stop" }
        return process.exitValue()
    }

    /** Text that a GET of [url] returns. */
    public fun get(url: String): HttpResponse<String> =
        http.send(HttpRequest.newBuilder(URI(url)).build(), HttpResponse.BodyHandlers.ofString())

    /** Sends a POST without a body to [url]. */
    public fun post(url: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.noBody())
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Waits until [holds] is true. */
    public fun await(what: String, timeout: Duration = START_TIMEOUT, holds: () -> Boolean) {
        val start = TimeSource.Monotonic.markNow()
        while (!holds()) {
            check(start.elapsedNow() < timeout) { "no $what within $timeout; logs in $directory" }
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    /** What the log of the process [name] says so far. */
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

    private fun standIn(kind: String, address: String): List<String> =
        listOf("$root/bin/stand-in", kind, "--port", "${Ports.portOf(address)}")

    private fun awaitOk(url: String): Unit = await("answer from $url") {
        runCatching { get(url).statusCode() == OK }.getOrDefault(false)
    }

    private companion object {
        const val OK = 200
        const val STOP_TIMEOUT_SECONDS = 60L
        const val SECTIONS_PATH = "/apis/burdockspread.io/v1/namespaces/demo/sections"
        val START_TIMEOUT = 60.seconds
        val POLL = 20.milliseconds
    }
}

/** What a program printed and how it ended. */
public data class ProgramOutput(public val status: Int, public val text: String)
