/**
 * Background tasks that survive unexpected exceptions and errors.
 *
 * An error such as a [StackOverflowError] leaves the process sound once the stack is unwound. When
 * memory runs out, the JVM itself ends the process, by `-XX:+ExitOnOutOfMemoryError`.
 */
package burdockspread.forward.host

import io.netty.util.concurrent.EventExecutor
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Delay before a failed task starts again; a lasting fault must not occupy the processor. */
private val RESTART_DELAY = 1.seconds
private const val FAILED = "{} failed; it starts again in {}"
private val log = LogManager.getLogger("supervision")

/**
 * Runs [task] until it returns or is cancelled, and starts it again after an unexpected exception
 * or error, so that a host does not stop updating itself while it goes on serving.
 */
internal fun CoroutineScope.launchSupervised(name: String, task: suspend () -> Unit): Job = launch {
    while (true) {
        try {
            return@launch task()
        } catch (e: CancellationException) {
            // A cancellation of something else, such as a timeout, ends only what it was for.
            ensureActive()
            log.error(FAILED, name, RESTART_DELAY, e)
        } catch (e: Throwable) {
            log.error(FAILED, name, RESTART_DELAY, e)
        }
        delay(RESTART_DELAY)
    }
}

/** Runs [task] every [interval], also after it has thrown an exception or error. */
internal fun EventExecutor.scheduleSupervised(name: String, interval: Duration, task: () -> Unit) {
    val guarded = Runnable {
        try {
            task()
        } catch (e: Throwable) {
            log.error("{} failed; it runs again in {}", name, interval, e)
        }
    }
    val millis = interval.inWholeMilliseconds
    scheduleAtFixedRate(guarded, millis, millis, TimeUnit.MILLISECONDS)
}
