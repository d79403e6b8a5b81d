package burdockspread.journal

import burdockspread.error.ErrorCode
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class EventIdTest {
    @Test
    fun `any id is parsed from its text form`() {
        val random = Random(7)
        repeat(2_000) {
            val id = EventId(
                GenerationId(name(random)),
                BranchId(
                    random.nextLong(1, Long.MAX_VALUE),
                    HostId(name(random)),
                    random.nextLong(),
                ),
                random.nextInt(0, Int.MAX_VALUE),
            )
            assertEquals(id, EventId.parse(id.format()).getOrNull(), id.format())
        }
    }

    @Test
    fun `malformed text is refused without an exception`() {
        val good = EventId(GenerationId("g"), branch(1, "h"), 3).format()
        val bad = listOf(
            "", ":", ":::::", "2:g:1:1:h:3", "1:g:0:1:h:3", "1:g:1:1:h:-1", "1:g:1:1:h:99999999999",
            "1:%zz:1:1:h:3", "1::1:1:h:3", "1:g:1:xyz:h:3", "$good:", "x".repeat(5_000),
        )
        bad.forEach { text ->
            assertEquals(ErrorCode.MALFORMED_REQUEST, EventId.parse(text).leftOrNull()?.code, text)
        }
        val random = Random(8)
        repeat(5_000) {
            val chars = good.toCharArray()
            chars[random.nextInt(chars.size)] = Char(random.nextInt(1, 300))
            EventId.parse(chars.concatToString())
        }
    }

    private fun name(random: Random) =
        String(CharArray(random.nextInt(1, 12)) { ":%+ a/é".random(random) })
}
