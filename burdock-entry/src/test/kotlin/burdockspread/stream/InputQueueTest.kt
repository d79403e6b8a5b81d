package burdockspread.stream

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class InputQueueTest {
    @Test
    fun `an input that arrives at the time of the timeout is not lost`() = runTest {
        val queue = InputQueue<Int>(capacity = 4)
        launch {
            delay(100.milliseconds)
            queue.send(1)
        }
        testScheduler.runCurrent()
        val first = queue.next(100.milliseconds)
        assertEquals(1, first ?: queue.next(Duration.ZERO))
    }

    @Test
    fun `an empty queue returns null at the timeout`() = runTest {
        assertEquals(null, InputQueue<Int>(capacity = 4).next(100.milliseconds))
        assertEquals(100, testScheduler.currentTime)
    }
}
