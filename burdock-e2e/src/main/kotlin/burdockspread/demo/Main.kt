/** Entry point of the demonstration, which runs the whole system on the loopback interface. */
package burdockspread.demo

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

private val MAX_RESUME_PAUSE = 3.seconds

/** Runs the demonstration; the first argument is the root directory of the built project. */
public fun main(args: Array<String>) {
    val root = Path.of(args.first())
    val directory = Files.createTempDirectory("burdockspread-demo")
    println("logs of all processes: $directory")
    val failures = Fleet(root, directory, FleetLayout.of("morbi-a", "rajkot-b")).use {
        Demonstration(it, MAX_RESUME_PAUSE).run()
    }
    failures.forEach { println("FAILED: $it") }
    println(if (failures.isEmpty()) "demo: all checks passed" else "demo: ${failures.size} failed")
    exitProcess(if (failures.isEmpty()) 0 else 1)
}
