package burdockspread.ctl

import kotlin.test.Test
import kotlin.test.assertNull

/** Lines of a log file that nest deeply. */
class DeepTextTest {
    // Guards against a StackOverflowError out of a parser.
    @Test
    fun `a deeply nested line logs no decision`() {
        val array = "[".repeat(100_000) + "]".repeat(100_000)
        assertNull(LogLine.parse("host-1", """{"message":$array}"""))
        assertNull(LogLine.parse("host-1", """{"message":${"[".repeat(100_000)}"""))
    }
}
