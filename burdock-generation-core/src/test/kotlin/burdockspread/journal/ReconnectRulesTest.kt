package burdockspread.journal

import burdockspread.error.ErrorCode
import burdockspread.generation.FinishReason
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import burdockspread.journal.ReconnectDecision.AttachHere
import burdockspread.journal.ReconnectDecision.AttachToOwner
import burdockspread.journal.ReconnectDecision.Refuse
import burdockspread.journal.ReconnectDecision.Replay
import burdockspread.journal.ReconnectDecision.TakeOver
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ReconnectRulesTest {
    private val self = HostId("self")
    private val root = branch(1, "a")
    private val owned = Lineage.of(root)

    @Test
    fun `a caller is continued by claiming the copy after its entry host dies`() {
        val decision = decide(caller(root, 10), copy("x", owned, 12), unreachable("a"))
        val takeover = assertIs<TakeOver>(decision)
        assertEquals(listOf(HostId("x")), takeover.holders)
        assertEquals(2, takeover.epoch)
        assertEquals(10, takeover.offset)
    }

    @Test
    fun `a reachable owner takes precedence over a takeover and a finished answer is replayed`() {
        val caller = caller(root, 10)
        assertEquals(setOf(HostId("a")), ownersToQuery(caller, listOf(copy("x", owned, 12))))
        val attached = decide(caller, copy("x", owned, 12), running("a", owned, 15))
        assertEquals(HostId("a"), assertIs<AttachToOwner>(attached).host)
        assertIs<AttachHere>(decide(caller, running("self", owned, 15), running("a", owned, 15)))
        assertIs<Replay>(decide(caller, copy("x", owned, 12, FinishReason.STOP), unreachable("a")))
    }

    @Test
    fun `an owner named by a holder is queried after any number of takeovers`() {
        val moved = owned.fork(branch(2, "b"), 5)
        assertEquals(
            setOf(HostId("a"), HostId("b")),
            ownersToQuery(
                caller(root, 4),
                listOf(copy("x", moved, 9), LookupResult.NotFound(self)),
            ),
        )
    }

    @Test
    fun `takers on both sides of a partition never continue callers of the other side`() {
        val left = branch(2, "l", nonce = 5)
        val right = branch(2, "r", nonce = 6)
        val onLeft = owned.fork(left, 10)
        val onRight = owned.fork(right, 8)
        assertIs<TakeOver>(decide(caller(left, 14), copy("x", onLeft, 20)))
        assertIs<ReconnectDecision.Restart>(decide(caller(left, 14), copy("y", onRight, 20)))
        assertIs<ReconnectDecision.Restart>(decide(caller(right, 9), copy("x", onLeft, 20)))
        // Either side continues the tokens that both have in common.
        assertIs<TakeOver>(decide(caller(root, 8), copy("y", onRight, 20)))
        assertIs<ReconnectDecision.Restart>(decide(caller(root, 9), copy("y", onRight, 20)))
    }

    @Test
    fun `two takeovers of a host in one epoch are distinguished by the nonce`() {
        val first = owned.fork(branch(2, "t", nonce = 1), 10)
        val second = owned.fork(branch(2, "t", nonce = 2), 10)
        val caller = caller(first.current, 12)
        assertIs<ReconnectDecision.Restart>(decide(caller, running("t", second, 20)))
        assertIs<AttachToOwner>(decide(caller, running("t", first, 20)))
    }

    @Test
    fun `the generations of one request on two hosts are never mixed`() {
        val here = CopyKey(request(), GenerationId("here"))
        val there = CopyKey(request(), GenerationId("there"))
        val fresh = ReconnectingCaller(request(), null, acceptsRestart = true)
        assertIs<ReconnectDecision.StartNew>(decide(fresh, unreachable("b")))
        val caller = ReconnectingCaller(request(), EventId(here.generation, root, 3), true)
        val other = LookupResult.Running(HostId("b"), there, Lineage.of(branch(1, "b")), 9, null)
        assertIs<ReconnectDecision.Restart>(decide(caller, other))
        val own = LookupResult.Running(self, here, owned, 9, null)
        assertEquals(here, assertIs<AttachHere>(decide(caller, other, own)).key)
    }

    @Test
    fun `refusals state what is known`() {
        val nonRestartable = caller(root, 10, acceptsRestart = false)
        fun codeOf(vararg results: LookupResult) =
            assertIs<Refuse>(decide(nonRestartable, *results)).refusal.code
        assertEquals(ErrorCode.CUT_OFF, codeOf(unreachable("a")))
        assertEquals(ErrorCode.GENERATION_LOST, codeOf(LookupResult.NotFound(HostId("a"))))
        assertEquals(ErrorCode.OFFSET_AHEAD, codeOf(running("a", owned, 9)))
        assertEquals(ErrorCode.GENERATION_LOST, codeOf(copy("x", owned, 9)))
    }

    @Test
    fun `the longest claimed copy is continued unless another taker was faster`() {
        val caller = caller(root, 4)
        val taker = branch(2, "self")
        val claims = listOf(5, 9, 7).map { ClaimOutcome.Claimed(whole(it)) }
        val result = assertIs<TakeoverResult.TakenOver>(resolveTakeover(caller, taker, claims))
        assertEquals(Segment(taker, 9), result.lineage.segments.last())
        val faster = ClaimOutcome.Superseded(branch(3, "c"))
        val attach = resolveTakeover(caller, taker, claims + faster)
        assertEquals(HostId("c"), assertIs<TakeoverResult.AttachToOwner>(attach).host)
        val ahead = resolveTakeover(caller(root, 10), taker, claims)
        assertEquals(ReconnectDecision.Restart, assertIs<TakeoverResult.Fallback>(ahead).decision)
    }

    @Test
    fun `a lineage is bounded and a full one leads to an explicit restart`() {
        var lineage = owned
        var epoch = 1L
        while (!lineage.isFull) lineage = lineage.fork(branch(++epoch, "t"), 1)
        assertEquals(Lineage.MAX_SEGMENTS, lineage.segments.size)
        assertIs<ReconnectDecision.Restart>(decide(caller(root, 1), copy("x", lineage, 5)))
        assertTrue(lineage.containsPrefix(root, 1, 5))
        assertFalse(lineage.containsPrefix(root, 2, 5))
    }

    private fun decide(caller: ReconnectingCaller, vararg results: LookupResult) =
        decideReconnect(caller, self, results.toList())

    private fun caller(branch: BranchId, offset: Int, acceptsRestart: Boolean = true) =
        ReconnectingCaller(request(), EventId(copyKey().generation, branch, offset), acceptsRestart)

    private fun running(host: String, lineage: Lineage, length: Int) =
        LookupResult.Running(HostId(host), copyKey(), lineage, length, null)

    private fun copy(host: String, lineage: Lineage, length: Int, finish: FinishReason? = null) =
        LookupResult.Copy(
            HostId(host),
            CopyHead(copyKey(), lineage.current, lineage, length, finish),
        )

    private fun whole(length: Int): JournalCopy {
        val head = CopyHead(copyKey(), root, owned, length, null)
        val tokens = JournalCopies(CopyLimits(100_000)).run {
            append(batch(owned, 0, List(length) { "$it" }), START)
            read(copyKey())!!.tokens
        }
        return JournalCopy(head, tokens, "{}", START)
    }

    private fun unreachable(host: String) = LookupResult.Unreachable(HostId(host))
}
