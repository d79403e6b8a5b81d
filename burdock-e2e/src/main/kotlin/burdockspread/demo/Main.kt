/** The demonstration: the whole path on loopback, printing what it sees. */
package burdockspread.demo

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

private val RESUME_LIMIT = 3.seconds

/** Runs the demonstration in the folder of the built project. */
public fun main(args: Array<String>) {
    val root = Path.of(args.first())
    val directory = Files.createTempDirectory("burdockspread-demo")
    println("logs of all processes: $directory")
    val failures = Fleet(root, directory, FleetLayout.of("morbi-a", "rajkot-b")).use {
        Demonstration(it, RESUME_LIMIT).run()
    }
    failures.forEach { println("FAILED: $it") }
    println(if (failures.isEmpty()) "demo: everything held" else "demo: ${failures.size} failed")
    exitProcess(if (failures.isEmpty()) 0 else 1)
}
