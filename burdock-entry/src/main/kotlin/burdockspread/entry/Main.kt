/** Starts `burdock-entry`. */
package burdockspread.entry

import burdockspread.settings.DaemonCommand
import burdockspread.settings.ExitCode
import burdockspread.settings.entrySettings
import burdockspread.wire.settings.EntrySettings
import com.github.ajalt.clikt.core.main
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import java.net.BindException

/** Entry point of `burdock-entry`. */
public fun main(args: Array<String>) {
    val about = "Serves callers: generations, plain services, and its share of the spread."
    DaemonCommand("burdock-entry", about, entrySettings, ::runEntry).main(args)
}

private fun runEntry(settings: EntrySettings): ExitCode {
    // The server's own hook would cut running streams at once on SIGTERM.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val process = EntryProcess(settings)
    try {
        process.start()
    } catch (e: BindException) {
        LogManager.getLogger("main").error("a port cannot be opened: {}", e.message)
        return ExitCode.ADDRESS_IN_USE
    }
    Runtime.getRuntime().addShutdownHook(Thread { onSignal(process) })
    return runBlocking { process.awaitStop() }
}

/** On SIGTERM the hook drains; the exit status is set here, since the JVM would give 143. */
private fun onSignal(process: EntryProcess) {
    process.drain()
    val exit = runBlocking { process.awaitStop() }
    LogManager.getLogger("main").info("stopped: {}", exit)
    LogManager.shutdown()
    Runtime.getRuntime().halt(exit.status)
}
