package burdockspread.forward.host

import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class SupervisionTest {
    @Test
    fun `a task that failed starts again`() = runTest {
        var starts = 0
        val job = launchSupervised("test task") {
            starts++
            check(starts >= 3) { "malformed message" }
            delay(1.seconds)
        }
        job.join()
        assertEquals(3, starts)
    }

    // Guards against a StackOverflowError that ended a task for good and cancelled its siblings.
    @Test
    fun `a task that failed with an error starts again and its siblings go on`() = runTest {
        var starts = 0
        val jobs = coroutineScope {
            val failing = launchSupervised("test task") {
                starts++
                if (starts < 3) throw StackOverflowError()
            }
            listOf(failing, launchSupervised("sibling") { delay(1.minutes) })
        }
        assertEquals(3, starts)
        assertTrue(jobs.none { it.isCancelled })
    }

    // Guards against a timeout inside a task that ended the task for good.
    @Test
    fun `a task whose own call was cancelled starts again`() = runTest {
        var starts = 0
        val job = launchSupervised("test task") {
            starts++
            if (starts < 3) withTimeout(1.seconds) { delay(1.minutes) }
        }
        job.join()
        assertEquals(3, starts)
    }

    @Test
    fun `a task that is cancelled after an error does not start again`() = runTest {
        var starts = 0
        val job = launchSupervised("test task") {
            starts++
            throw StackOverflowError()
        }
        runCurrent()
        job.cancelAndJoin()
        assertEquals(1, starts)
    }

    @Test
    fun `a cancelled task does not start again`() = runTest {
        var starts = 0
        val job = launchSupervised("test task") {
            starts++
            delay(1.seconds)
        }
        delay(100.milliseconds)
        job.cancel()
        job.join()
        assertEquals(1, starts)
        assertTrue(job.isCancelled)
    }

    // Guards against a StackOverflowError that ended a periodic task for good.
    @Test
    fun `a scheduled task that failed with an error runs again`() {
        assertEquals(3, runsOf { throw StackOverflowError() })
    }

    @Test
    fun `a scheduled task that failed runs again`() {
        assertEquals(3, runsOf { error("malformed message") })
    }

    /** Returns how often [task] runs in three periods. */
    private fun runsOf(task: () -> Unit): Int {
        // Otherwise its clock goes on with the real one between the steps.
        val channel = EmbeddedChannel().apply { freezeTime() }
        var runs = 0
        channel.eventLoop().scheduleSupervised("test task", 50.milliseconds) {
            runs++
            task()
        }
        repeat(3) {
            channel.advanceTimeBy(50, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
        return runs
    }
}
