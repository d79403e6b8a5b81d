package burdockspread.generation

import burdockspread.error.ErrorCode
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.journal.RequestKey
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class GenerationRegistryTest {
    private val body = BodyFingerprint.of("a")
    private val start = Instant.fromEpochSeconds(0)

    @Test
    fun `the same request attaches and another body is refused`() {
        val open = GenerationRegistry<String>(1.minutes, 1_000)
        assertIs<OpenResult.Started<String>>(open.open(key(1), body) { "g1" })
        val second = open.open(key(1), body) { error("a second generation was created") }
        assertEquals(OpenResult.Attached("g1"), second)
        val refused = open.open(key(1), BodyFingerprint.of("b")) { "g2" }
        assertEquals(
            ErrorCode.REQUEST_ID_REUSED,
            assertIs<OpenResult.Refused>(refused).refusal.code,
        )
    }

    @Test
    fun `finished answers are bounded by bytes and age and the oldest is evicted first`() {
        val open = GenerationRegistry<String>(1.minutes, 1_000)
        val answers = List(4) { "g$it" }
        repeat(4) {
            open.open(key(it), body) { answers[it] }
            open.finish(key(it), answers[it], 400, start + it.seconds)
            assertTrue(open.keptBytes <= 1_000)
        }
        assertEquals(listOf(null, null, "g2", "g3"), (0..3).map { open.find(key(it)) })
        open.expire(start + 62.seconds)
        assertNull(open.find(key(2)))
        assertEquals("g3", open.find(key(3)))
        assertEquals(1, open.size)
    }

    @Test
    fun `an explicit restart outlives the expiry of the answer that it replaced`() {
        val open = GenerationRegistry<String>(1.minutes, 1_000)
        open.open(key(1), body) { "old" }
        open.finish(key(1), "old", 10, start)
        assertTrue(open.restart(key(1), "old", "fresh"))
        assertTrue(!open.restart(key(1), "old", "other"))
        open.expire(start + 2.minutes)
        assertEquals("fresh", open.find(key(1)))
    }

    @Test
    fun `concurrent sends of one request share one generation`() =
        StressOptions().iterations(3).invocationsPerIteration(200).check(Race::class)

    class Race {
        private val open = GenerationRegistry<Int>(1.minutes, 1_000)

        @Operation
        fun send(value: Int): Int = when (
            val result = open.open(key(1), BodyFingerprint("x")) { value }
        ) {
            is OpenResult.Started -> result.generation
            is OpenResult.Attached -> -result.generation
            is OpenResult.Refused -> error("same body")
        }

        @Operation
        fun find(): Int? = open.find(key(1))
    }

    private companion object {
        fun key(n: Int) = RequestKey(OrganisationId("o"), RequestId("r$n"))
    }
}
