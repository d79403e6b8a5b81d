/** Life cycle of the daemons. */
package burdockspread.settings

import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import sun.misc.Signal
import java.net.BindException

/**
 * Runs a daemon from [start] until [awaitStop] returns. SIGTERM calls [stop], SIGHUP [reload].
 *
 * Without this handler SIGHUP would terminate the JVM as SIGTERM does. The shutdown hook sets the
 * exit status, because the JVM would otherwise exit with 143 on SIGTERM.
 */
public fun runDaemon(
    start: () -> Unit,
    stop: () -> Unit,
    awaitStop: suspend () -> ExitCode,
    reload: () -> Unit = {},
): ExitCode {
    Signal.handle(Signal("HUP")) {
        LogManager.getLogger("main").info("SIGHUP received; reloading the settings")
        reload()
    }
    // Ktor's own shutdown hook would cut running streams at once on SIGTERM.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    try {
        start()
    } catch (e: BindException) {
        LogManager.getLogger("main").error("failed to bind a port: {}", e.message)
        return ExitCode.ADDRESS_IN_USE
    }
    Runtime.getRuntime().addShutdownHook(Thread { shutDown(stop, awaitStop) })
    return runBlocking { awaitStop() }
}

private fun shutDown(stop: () -> Unit, awaitStop: suspend () -> ExitCode) {
    stop()
    val exit = runBlocking { awaitStop() }
    LogManager.getLogger("main").info("stopped: {}", exit)
    LogManager.shutdown()
    Runtime.getRuntime().halt(exit.status)
}
