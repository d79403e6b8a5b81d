package burdockspread.claim

import burdockspread.claim.LedgerFixture.Companion.SETTINGS
import burdockspread.fakes.store.StoreFault
import com.google.protobuf.ByteString
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClaimLedgerTest {
    @Test
    fun `any host gives the recorded answer to a repeat`() = ledger {
        val first = host("a")
        val permit = first.askToSend()
        first.done(permit)
        delay(1.seconds)
        val expected = ClaimDecision.AlreadyDone(201, ByteString.copyFromUtf8("booked"))
        assertEquals(expected, host("b").ask())
        assertEquals(expected, first.ask())
    }

    @Test
    fun `a key with another body is refused`() = ledger {
        host("a").askToSend()
        assertEquals(ClaimDecision.KeyReused, host("b").ask(body = "other"))
    }

    @Test
    fun `of many asks at once over two hosts one may send`() = ledger {
        val hosts = listOf(host("a"), host("b"))
        val asks = List(20) { hosts[it % 2] }.map { scope.async { it.ask() } }
        assertEquals(1, asks.awaitAll().count { it is ClaimDecision.Send })
    }

    @Test
    fun `a claim whose answer is lost is read back and sent once`() = ledger {
        val a = host("a")
        a.askToSend("other")
        breakNext(StoreFault.ANSWER_LOST)
        a.askToSend()
        assertEquals(ClaimDecision.InProgress, host("b").ask())
    }

    @Test
    fun `a refused write is not run only on the first send of a key`() = ledger {
        val a = host("a")
        breakAll(StoreFault.REFUSED)
        assertIs<ClaimDecision.Unavailable>(a.ask(firstSend = true))
        assertIs<ClaimDecision.Pending>(a.ask())
    }

    @Test
    fun `a claim that comes in after its caller was told pending is never sent`() = ledger {
        val a = host("a")
        a.askToSend("other")
        breakAll(StoreFault.CALL_LATE)
        assertIs<ClaimDecision.Pending>(a.ask(firstSend = true))
        store.deliverDelayedCalls()
        heal()
        delay(10.seconds)
        assertEquals(ClaimDecision.NotRun, host("b").ask())
        assertEquals(ClaimDecision.NotRun, a.ask())
    }

    @Test
    fun `a repeat at the same host takes over its own late claim`() = ledger {
        val a = host("a")
        a.askToSend("other")
        breakAll(StoreFault.CALL_LATE)
        assertIs<ClaimDecision.Pending>(a.ask())
        val repeat = scope.async { a.ask() }
        delay(1.milliseconds)
        store.deliverDelayedCalls()
        heal()
        assertIs<ClaimDecision.Send>(repeat.await())
    }

    @Test
    fun `a host dead between claim and record leaves the outcome unknown for good`() = ledger {
        val a = host("a")
        a.askToSend()
        a.kill()
        val b = host("b")
        assertEquals(ClaimDecision.InProgress, b.ask())
        delay(SETTINGS.outcomeTimeout + 1.seconds)
        assertEquals(ClaimDecision.OutcomeUnknown, b.ask())
        assertEquals(ClaimDecision.OutcomeUnknown, host("a2").ask())
    }

    @Test
    fun `an answer that comes late replaces the unknown outcome`() = ledger {
        val a = host("a")
        val permit = a.askToSend()
        assertTrue(permit.trySend(now))
        delay(SETTINGS.outcomeTimeout + 1.seconds)
        val b = host("b")
        assertEquals(ClaimDecision.OutcomeUnknown, b.ask())
        a.done(permit)
        delay(1.seconds)
        assertIs<ClaimDecision.AlreadyDone>(b.ask())
    }

    @Test
    fun `a holder that wakes too late may not send`() = ledger {
        val permit = host("a").askToSend()
        delay(SETTINGS.sendTimeout + 1.seconds)
        assertFalse(permit.trySend(now))
    }

    @Test
    fun `nothing is sent after the holder recorded that it was not sent`() = ledger {
        val a = host("a")
        val permit = a.askToSend()
        a.ledger.record(permit, CallOutcome.NotSent, now)
        assertFalse(permit.trySend(now))
        delay(1.seconds)
        assertEquals(ClaimDecision.NotRun, host("b").ask())
    }

    @Test
    fun `a caller that leaves has its claim recorded as not run`() = ledger {
        val a = host("a")
        a.askToSend("other")
        breakAll(StoreFault.ANSWER_LOST)
        val caller = scope.launch { a.ask() }
        delay(SETTINGS.commitInterval * 2)
        caller.cancel()
        heal()
        delay(10.seconds)
        assertEquals(ClaimDecision.NotRun, host("b").ask())
    }

    @Test
    fun `an answer above the limit is recorded as done without its body`() = ledger {
        val a = host("a", SETTINGS.copy(maxAnswerBytes = 3))
        a.done(a.askToSend())
        delay(1.seconds)
        assertEquals(ClaimDecision.AlreadyDone(201, null), host("b").ask())
    }

    @Test
    fun `a host with another number of shards never claims`() = ledger {
        host("a").askToSend()
        val b = host("b", SETTINGS.copy(shardCount = 2))
        repeat(20) { assertIs<ClaimDecision.Pending>(b.ask("key $it")) }
    }

    @Test
    fun `an ask ends in time while the store hangs`() = ledger {
        val a = host("a")
        a.askToSend("other")
        store.responseDelay = SETTINGS.outcomeTimeout
        val asked = now
        assertIs<ClaimDecision.Pending>(a.ask(firstSend = true))
        assertEquals(SETTINGS.claimTimeout, now - asked)
    }

    @Test
    fun `a new host learns of claims that have left the window`() = ledger {
        val a = host("a")
        a.done(a.askToSend())
        repeat(20) { a.askToSend("key $it") }
        assertTrue(store.peekAll().size > 3)
        assertIs<ClaimDecision.AlreadyDone>(host("b").ask())
    }

    @Test
    fun `claims are forgotten after the retention and their archives deleted`() = ledger {
        val a = host("a")
        a.askToSend()
        repeat(20) { a.askToSend("key $it") }
        delay(SETTINGS.retention + 1.seconds)
        repeat(60) {
            a.askToSend("late key $it")
            delay(SETTINGS.outcomeTimeout)
        }
        assertTrue(a.ledger.state().shards.single().entries < 65)
        assertIs<ClaimDecision.Send>(host("b").ask())
    }

    private suspend fun LedgerFixture.Host.askToSend(key: String = "k"): SendPermit =
        assertIs<ClaimDecision.Send>(ask(key)).permit

    private fun ledger(test: suspend LedgerFixture.() -> Unit) = runTest {
        LedgerFixture(this).test()
    }
}
