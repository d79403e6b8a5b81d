package burdockspread.forward.host

import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
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

    @Test
    fun `a scheduled task that failed runs again`() {
        // Otherwise its clock goes on with the real one between the steps.
        val channel = EmbeddedChannel().apply { freezeTime() }
        var runs = 0
        channel.eventLoop().scheduleSupervised("test task", 50.milliseconds) {
            runs++
            error("malformed message")
        }
        repeat(3) {
            channel.advanceTimeBy(50, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
        assertEquals(3, runs)
    }
}
