/** Life cycle of the daemons. */
package burdockspread.settings

import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import sun.misc.Signal
import java.net.BindException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** A start takes about a second on a host with half a core. */
private const val START_LIMIT_SECONDS = 5L

/**
 * Runs a daemon from [start] until [awaitStop] returns. SIGTERM calls [stop], SIGHUP [reload].
 *
 * Without this handler SIGHUP would terminate the JVM as SIGTERM does. The shutdown hook sets the
 * exit status, because the JVM would otherwise exit with 143 on SIGTERM. A SIGTERM during [start]
 * stops the daemon once it has started, since it may already have read requests.
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
    val hasStarted = CompletableFuture<Boolean>()
    Runtime.getRuntime().addShutdownHook(
        Thread { if (awaitStart(hasStarted)) shutDown(stop, awaitStop) },
    )
    try {
        start()
        hasStarted.complete(true)
    } catch (e: BindException) {
        LogManager.getLogger("main").error("failed to bind a port: {}", e.message)
        return ExitCode.ADDRESS_IN_USE
    } finally {
        hasStarted.complete(false)
    }
    return runBlocking { awaitStop() }
}

/** Returns whether the daemon has started, which it may be about to do. */
private fun awaitStart(hasStarted: CompletableFuture<Boolean>): Boolean = try {
    hasStarted.get(START_LIMIT_SECONDS, TimeUnit.SECONDS)
} catch (e: TimeoutException) {
    LogManager.getLogger("main").error("still starting after {} s; exits", START_LIMIT_SECONDS, e)
    false
}

private fun shutDown(stop: () -> Unit, awaitStop: suspend () -> ExitCode) {
    stop()
    val exit = runBlocking { awaitStop() }
    LogManager.getLogger("main").info("stopped: {}", exit)
    LogManager.shutdown()
    Runtime.getRuntime().halt(exit.status)
}
