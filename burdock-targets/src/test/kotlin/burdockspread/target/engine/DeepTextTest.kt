package burdockspread.target.engine

import burdockspread.error.ErrorCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Text of callers and engines that nests deeply. */
class DeepTextTest {
    private val texts = listOf(
        "[".repeat(100_000) + "]".repeat(100_000),
        "[".repeat(100_000),
        "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
    )

    // Guards against a StackOverflowError out of a parser.
    @Test
    fun `a deeply nested body is refused`() {
        texts.forEach {
            val body = """{"model":"m","prompt":"p","extra":$it}"""
            listOf(it, body).forEach { text ->
                val refusal = CompletionBody.parse(CompletionApi.COMPLETIONS, text).leftOrNull()
                assertEquals(ErrorCode.MALFORMED_REQUEST, refusal?.code)
            }
        }
    }

    // Guards against a StackOverflowError out of a parser.
    @Test
    fun `a deeply nested chunk fails the attempt`() {
        texts.forEach {
            val failed = assertIs<EngineEvent.Failed>(ChunkReader().read("""{"extra":$it}"""))
            assertEquals(EngineFailure.ENGINE_FAULT, failed.cause)
        }
    }
}
