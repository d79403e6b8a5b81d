/** Runs the daemons until they are asked to stop. */
package burdockspread.settings

import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import sun.misc.Signal
import java.net.BindException

/**
 * Runs a daemon from [start] to the end of [awaitStop]; SIGTERM calls [stop], SIGHUP [reload].
 *
 * Without a handler of its own SIGHUP would end the JVM like SIGTERM does.
 * The exit status is set in the hook, since the JVM itself would end with 143 on SIGTERM.
 */
public fun runDaemon(
    start: () -> Unit,
    stop: () -> Unit,
    awaitStop: suspend () -> ExitCode,
    reload: () -> Unit = {},
): ExitCode {
    Signal.handle(Signal("HUP")) {
        LogManager.getLogger("main").info("SIGHUP: the settings are read again")
        reload()
    }
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
