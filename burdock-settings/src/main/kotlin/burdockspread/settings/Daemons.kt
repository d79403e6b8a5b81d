/** Runs the daemons until they are asked to stop. */
package burdockspread.settings

import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import java.net.BindException

/**
 * Runs a daemon from [start] to the end of [awaitStop]; SIGTERM calls [stop].
 *
 * The exit status is set in the hook, since the JVM itself would end with 143 on SIGTERM.
 */
public fun runDaemon(
    start: () -> Unit,
    stop: () -> Unit,
    awaitStop: suspend () -> ExitCode,
): ExitCode {
    // The server's own hook would cut running streams at once on SIGTERM.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    try {
        start()
    } catch (e: BindException) {
        LogManager.getLogger("main").error("a port cannot be opened: {}", e.message)
        return ExitCode.ADDRESS_IN_USE
    }
    Runtime.getRuntime().addShutdownHook(Thread { onSignal(stop, awaitStop) })
    return runBlocking { awaitStop() }
}

private fun onSignal(stop: () -> Unit, awaitStop: suspend () -> ExitCode) {
    stop()
    val exit = runBlocking { awaitStop() }
    LogManager.getLogger("main").info("stopped: {}", exit)
    LogManager.shutdown()
    Runtime.getRuntime().halt(exit.status)
}
