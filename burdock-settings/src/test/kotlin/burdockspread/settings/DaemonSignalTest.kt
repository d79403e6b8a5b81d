package burdockspread.settings

import org.apache.logging.log4j.LogManager
import org.junit.jupiter.api.Timeout
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlin.test.Test
import kotlin.test.assertEquals

/** Signals to a daemon in a process of its own. */
@Timeout(60)
class DaemonSignalTest {
    // The process exited at once with 143 and dropped what it had read since its ports were open.
    @Test
    fun `a SIGTERM during the start stops the daemon in its regular way`() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val path = System.getProperty("java.class.path")
        val main = SlowDaemon::class.java.name
        val process = ProcessBuilder(java, "-cp", path, main)
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start()
        process.inputStream.bufferedReader().use { lines ->
            while (lines.readLine() != "starting") check(process.isAlive)
            assertEquals(0, kill(process, "TERM"))
            while (lines.readLine() != "shutting down") check(process.isAlive)
            process.outputStream.use { it.write('\n'.code) }
            assertEquals(listOf("started", "stop"), List(2) { lines.readLine() })
        }
        assertEquals(0, process.waitFor())
    }

    private fun kill(process: Process, signal: String): Int =
        ProcessBuilder("sh", "-c", "kill -$signal ${process.pid()}").start().waitFor()
}

/** Starts when it has read a line. */
internal object SlowDaemon {
    private val stopped = CountDownLatch(1)

    @JvmStatic
    fun main(args: Array<String>) {
        Runtime.getRuntime().addShutdownHook(Thread { println("shutting down") })
        val exit = runDaemon(::start, ::stop, { stopped.await().let { ExitCode.OK } })
        exitProcess(exit.status)
    }

    private fun start() {
        // Log4j cannot be initialised any more once the JVM shuts down.
        LogManager.getLogger("main")
        println("starting")
        System.`in`.read()
        println("started")
    }

    private fun stop() {
        println("stop")
        stopped.countDown()
    }
}
