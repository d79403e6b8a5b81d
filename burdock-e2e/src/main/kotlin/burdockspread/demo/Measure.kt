/** Measures start time, resident memory and CPU time per token of real processes on loopback. */
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
private const val MICROS_PER_SECOND = 1_000_000
private const val IDLE_MILLIS = 20_000L
private const val MILLIS_PER_SECOND = 1_000
private const val MAX_MINUTES = 5L

/** Prints the measurements; the first argument is the root directory of the built project. */
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
        fleet.startFakes()
        fleet.teams.createAllSections()
        val start = TimeSource.Monotonic.markNow()
        fleet.layout.entries.forEach { fleet.startEntry(it) }
        fleet.awaitReady()
        println("start to ready: ${start.elapsedNow().inWholeMilliseconds} ms")
        println("resident after start: ${residentMib()} MiB")
        measureIdle()
        repeat(ROUNDS) { measureLoad(it + 1) }
        measureIdle()
    }

    /** Measures the CPU time of an idle entry host: gossip, polls and limit shares. */
    private fun measureIdle() {
        val before = cpuSeconds()
        Thread.sleep(IDLE_MILLIS)
        val used = cpuSeconds() - before
        println(
            "idle: %.2f s of CPU time in %d s".format(
                used,
                IDLE_MILLIS / MILLIS_PER_SECOND,
            ),
        )
    }

    private fun measureLoad(round: Int) {
        val before = cpuSeconds()
        val kernelBefore = kernelSeconds()
        val start = TimeSource.Monotonic.markNow()
        val pool = Executors.newFixedThreadPool(STREAMS)
        repeat(STREAMS) { i ->
            pool.submit {
                Caller().stream(entry.caller, RequestSpec("prompt $i", TOKENS, "r$round-$i"))
            }
        }
        pool.shutdown()
        pool.awaitTermination(MAX_MINUTES, TimeUnit.MINUTES)
        val seconds = start.elapsedNow().inWholeMilliseconds.toDouble() / MILLIS_PER_SECOND
        val deliveredTokens = deliveredTokens()
        val used = cpuSeconds() - before
        println(
            "round %d: %d streams, %.1f s, %.0f tokens/s, %.1f us of CPU time per token, %d MiB"
                .format(
                    round,
                    STREAMS,
                    seconds,
                    STREAMS * TOKENS / seconds,
                    used / (STREAMS * TOKENS) * MICROS_PER_SECOND,
                    residentMib(),
                ),
        )
        val kernel = kernelSeconds() - kernelBefore
        println("  kernel share of the CPU time: %.1f s of %.1f s".format(kernel, used))
        println("  tokens delivered so far: $deliveredTokens")
    }

    private fun deliveredTokens(): Long {
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

    private fun cpuSeconds(): Double = seconds(USER_TICKS) + kernelSeconds()

    private fun kernelSeconds(): Double = seconds(SYSTEM_TICKS)

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
