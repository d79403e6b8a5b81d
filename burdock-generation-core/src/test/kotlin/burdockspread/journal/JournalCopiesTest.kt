package burdockspread.journal

import burdockspread.generation.FinishReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class JournalCopiesTest {
    private val owner = Lineage.of(branch(1, "a"))
    private val copies = JournalCopies(CopyLimits(1_000_000))

    @Test
    fun `batches that overlap, repeat or arrive late add each token once`() {
        append(batch(owner, 0, listOf("0", "1", "2")))
        append(batch(owner, 2, listOf("2", "3")))
        append(batch(owner, 0, listOf("0", "1")))
        assertEquals(listOf("0", "1", "2", "3"), tokens())
    }

    @Test
    fun `a batch beyond the end is refused with the length to continue from`() {
        assertEquals(AppendOutcome.Gap(0), append(batch(owner, 3, listOf("3"))))
        append(batch(owner, 0, listOf("0")))
        assertEquals(AppendOutcome.Gap(1), append(batch(owner, 3, listOf("3"))))
    }

    @Test
    fun `after a takeover the batches of the resumed owner are refused`() {
        append(batch(owner, 0, listOf("0", "1")))
        val taker = branch(2, "b")
        assertIs<ClaimOutcome.Claimed>(copies.claim(copyKey(), taker))
        assertEquals(AppendOutcome.Superseded(taker), append(batch(owner, 2, listOf("2"))))
        append(batch(owner.fork(taker, 2), 2, listOf("two")))
        assertEquals(listOf("0", "1", "two"), tokens())
        assertEquals(ClaimOutcome.Superseded(taker), copies.claim(copyKey(), branch(2, "c", 1)))
    }

    @Test
    fun `a later continuation replaces tokens of an earlier one after their common prefix`() {
        val left = owner.fork(branch(2, "b"), 2)
        val right = owner.fork(branch(3, "c"), 1)
        append(batch(left, 0, listOf("0", "1", "left2", "left3")))
        assertEquals(AppendOutcome.Gap(1), append(batch(right, 2, listOf("right2"))))
        append(batch(right, 1, listOf("right1", "right2")))
        assertEquals(listOf("0", "right1", "right2"), tokens())
        assertEquals(right, copies.find(request()).single().lineage)
    }

    @Test
    fun `finished copies are evicted first, then idle ones, and running ones never`() {
        val small = JournalCopies(CopyLimits(11_500, keepIdle = 10.minutes))
        fun add(n: Int, finish: FinishReason?, second: Int) = small.append(
            batch(owner, 0, listOf("x".repeat(2_000)), finish, copyKey(n)),
            START + second.seconds,
        )
        add(1, null, 0)
        add(2, FinishReason.STOP, 1)
        add(3, FinishReason.STOP, 2)
        assertIs<AppendOutcome.Appended>(add(4, null, 3))
        assertIs<AppendOutcome.Appended>(add(5, null, 4))
        assertEquals(listOf(1, 3, 4, 5), (1..5).filter { small.find(request(it)).isNotEmpty() })
        assertIs<AppendOutcome.Appended>(add(6, null, 5))
        assertEquals(AppendOutcome.NoRoom, add(7, null, 6))
        assertEquals(listOf(1, 4, 5, 6), (1..7).filter { small.find(request(it)).isNotEmpty() })
        assertIs<AppendOutcome.Appended>(add(8, null, 601))
        assertEquals(listOf(4, 5, 6, 8), (1..8).filter { small.find(request(it)).isNotEmpty() })
        assertTrue(small.bytes <= 11_500)
    }

    @Test
    fun `finished copies expire first and idle ones later`() {
        append(batch(owner, 0, listOf("0"), FinishReason.STOP))
        append(batch(owner, 0, listOf("0"), key = copyKey(2)))
        copies.expire(START + 4.minutes)
        assertEquals(2, copies.size)
        copies.expire(START + 5.minutes)
        assertEquals(1, copies.size)
        copies.expire(START + 10.minutes)
        assertEquals(0, copies.size)
        assertEquals(0, copies.bytes)
    }

    private fun append(batch: JournalBatch) = copies.append(batch, START)

    private fun tokens(): List<String> = copies.read(copyKey())!!.tokens
}
