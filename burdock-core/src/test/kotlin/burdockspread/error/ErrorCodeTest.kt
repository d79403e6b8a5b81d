package burdockspread.error

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class ErrorCodeTest {
    @Test
    fun `numbers are unique`() {
        val numbers = ErrorCode.entries.map { it.number }
        assertEquals(numbers.distinct(), numbers)
    }

    @Test
    fun `the table in the docs matches the code`() {
        val root = Path.of(System.getProperty("burdock.root"))
        val documented = Files.readAllLines(root.resolve("docs/ERRORS.md")).filter {
            it.matches(ROW)
        }
        val expected = ErrorCode.entries.map {
            val retry = if (it.retryable) "yes" else "no"
            val cells =
                listOf(it.number, it.name, it.httpStatus, it.executionOutcome, retry, it.meaning)
            cells.joinToString(" | ", "| ", " |")
        }
        assertEquals(expected, documented)
    }

    private companion object {
        val ROW = Regex("""\| \d{3} \|.*""")
    }
}
