/** Measures real processes on loopback: start time, resident memory, processor time for a token. */
package burdockspread.demo

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess
import kotlin.time.TimeSource

private const val STREAMS = 100
private const val TOKENS = 200
private const val ROUNDS = 3
private const val TICKS_PER_SECOND = 100.0
private const val KIB_PER_MIB = 1_024
private const val MILLION = 1_000_000
private const val IDLE_MILLIS = 20_000L
private const val MILLIS_PER_SECOND = 1_000
private const val MAX_MINUTES = 5L

/** Prints the measurement of the project built in the folder that is the first argument. */
public fun main(args: Array<String>) {
    val directory = Files.createTempDirectory("burdockspread-measure")
    val layout = FleetLayout.of("a", "b").copy(batchSlots = STREAMS)
    Fleet(Path.of(args.first()), directory, layout, tokenMillis = 20).use {
        Measurement(it).run()
    }
    exitProcess(0)
}

private class Measurement(private val fleet: Fleet) {
    private val entry = fleet.layout.entries.first()

    fun run() {
        fleet.startStandIns()
        fleet.teams.createAll()
        val start = TimeSource.Monotonic.markNow()
        fleet.layout.entries.forEach { fleet.startEntry(it) }
        fleet.awaitReady()
        println("start to ready: ${start.elapsedNow().inWholeMilliseconds} ms")
        println("resident after start: ${residentMib()} MiB")
        idle()
        repeat(ROUNDS) { load(it + 1) }
        idle()
    }

    /** Processor time of an entry host without callers: spread, polls and shares. */
    private fun idle() {
        val before = processorSeconds()
        Thread.sleep(IDLE_MILLIS)
        val used = processorSeconds() - before
        println(
            "idle: %.2f s of processor time in %d s".format(
                used,
                IDLE_MILLIS / MILLIS_PER_SECOND,
            ),
        )
    }

    private fun load(round: Int) {
        val before = processorSeconds()
        val systemBefore = systemSeconds()
        val start = TimeSource.Monotonic.markNow()
        val pool = Executors.newFixedThreadPool(STREAMS)
        repeat(STREAMS) { i ->
            pool.submit { Caller().stream(entry.caller, Ask("prompt $i", TOKENS, "r$round-$i")) }
        }
        pool.shutdown()
        pool.awaitTermination(MAX_MINUTES, TimeUnit.MINUTES)
        val seconds = start.elapsedNow().inWholeMilliseconds.toDouble() / MILLIS_PER_SECOND
        val delivered = delivered()
        val used = processorSeconds() - before
        println(
            "round %d: %d streams, %.1f s, %.0f tokens/s, %.1f us of processor time a token, %d MiB"
                .format(
                    round,
                    STREAMS,
                    seconds,
                    STREAMS * TOKENS / seconds,
                    used / (STREAMS * TOKENS) * MILLION,
                    residentMib(),
                ),
        )
        val system = systemSeconds() - systemBefore
        println("  of it in the kernel: %.1f s of %.1f s".format(system, used))
        println("  tokens delivered so far: $delivered")
    }

    private fun delivered(): Long {
        val metrics = fleet.get("http://${entry.operator}/metrics").body()
        return metrics.lines()
            .filter { it.startsWith("burdock_tokens_delivered_total") }
            .sumOf { it.substringAfterLast(' ').toDouble().toLong() }
    }

    private fun residentMib(): Long {
        val status = Files.readAllLines(Path.of("/proc/${fleet.pid(entry.name)}/status"))
        val line = status.first { it.startsWith("VmRSS") }
        return line.filter { it.isDigit() }.toLong() / KIB_PER_MIB
    }

    private fun processorSeconds(): Double = seconds(USER_TICKS) + systemSeconds()

    private fun systemSeconds(): Double = seconds(SYSTEM_TICKS)

    private fun seconds(field: Int): Double {
        val stat = Files.readString(Path.of("/proc/${fleet.pid(entry.name)}/stat"))
        val fields = stat.substringAfterLast(')').trim().split(' ')
        return fields[field].toLong() / TICKS_PER_SECOND
    }

    private companion object {
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
    }
}
