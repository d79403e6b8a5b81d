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
    fun `any host returns the recorded answer to a repeated call`() = ledger {
        val first = host("a")
        val permit = first.requestPermit()
        first.recordDone(permit)
        delay(1.seconds)
        val expected = ClaimDecision.AlreadyDone(201, ByteString.copyFromUtf8("booked"))
        assertEquals(expected, host("b").requestClaim())
        assertEquals(expected, first.requestClaim())
    }

    @Test
    fun `a key with another body is refused`() = ledger {
        host("a").requestPermit()
        assertEquals(ClaimDecision.KeyReused, host("b").requestClaim(body = "other"))
    }

    @Test
    fun `only one of many concurrent claims on two hosts may send`() = ledger {
        val hosts = listOf(host("a"), host("b"))
        val claims = List(20) { hosts[it % 2] }.map { scope.async { it.requestClaim() } }
        assertEquals(1, claims.awaitAll().count { it is ClaimDecision.Send })
    }

    @Test
    fun `a claim with a lost write answer is read back and sent once`() = ledger {
        val a = host("a")
        a.requestPermit("other")
        injectFaultOnce(StoreFault.ANSWER_LOST)
        a.requestPermit()
        assertEquals(ClaimDecision.InProgress, host("b").requestClaim())
    }

    @Test
    fun `a refused write proves that nothing ran only on the first send of a key`() = ledger {
        val a = host("a")
        injectFault(StoreFault.REFUSED)
        assertIs<ClaimDecision.Unavailable>(a.requestClaim(firstSend = true))
        assertIs<ClaimDecision.Pending>(a.requestClaim())
    }

    @Test
    fun `a claim committed after its caller was told pending is never sent`() = ledger {
        val a = host("a")
        a.requestPermit("other")
        injectFault(StoreFault.CALL_LATE)
        assertIs<ClaimDecision.Pending>(a.requestClaim(firstSend = true))
        store.deliverDelayedCalls()
        clearFaults()
        delay(10.seconds)
        assertEquals(ClaimDecision.NotRun, host("b").requestClaim())
        assertEquals(ClaimDecision.NotRun, a.requestClaim())
    }

    @Test
    fun `a repeat on the same host takes over its own late claim`() = ledger {
        val a = host("a")
        a.requestPermit("other")
        injectFault(StoreFault.CALL_LATE)
        assertIs<ClaimDecision.Pending>(a.requestClaim())
        val repeat = scope.async { a.requestClaim() }
        delay(1.milliseconds)
        store.deliverDelayedCalls()
        clearFaults()
        assertIs<ClaimDecision.Send>(repeat.await())
    }

    @Test
    fun `a host that dies between claim and record leaves the outcome unknown`() = ledger {
        val a = host("a")
        a.requestPermit()
        a.stop()
        val b = host("b")
        assertEquals(ClaimDecision.InProgress, b.requestClaim())
        delay(SETTINGS.outcomeTimeout + 1.seconds)
        assertEquals(ClaimDecision.OutcomeUnknown, b.requestClaim())
        assertEquals(ClaimDecision.OutcomeUnknown, host("a2").requestClaim())
    }

    @Test
    fun `a late answer replaces the unknown outcome`() = ledger {
        val a = host("a")
        val permit = a.requestPermit()
        assertTrue(permit.trySend(now))
        delay(SETTINGS.outcomeTimeout + 1.seconds)
        val b = host("b")
        assertEquals(ClaimDecision.OutcomeUnknown, b.requestClaim())
        a.recordDone(permit)
        delay(1.seconds)
        assertIs<ClaimDecision.AlreadyDone>(b.requestClaim())
    }

    @Test
    fun `a holder that resumes too late may not send`() = ledger {
        val permit = host("a").requestPermit()
        delay(SETTINGS.sendTimeout + 1.seconds)
        assertFalse(permit.trySend(now))
    }

    @Test
    fun `nothing is sent after the holder recorded that the call was not sent`() = ledger {
        val a = host("a")
        val permit = a.requestPermit()
        a.ledger.record(permit, CallOutcome.NotSent, now)
        assertFalse(permit.trySend(now))
        delay(1.seconds)
        assertEquals(ClaimDecision.NotRun, host("b").requestClaim())
    }

    @Test
    fun `the claim of a cancelled caller is recorded as not run`() = ledger {
        val a = host("a")
        a.requestPermit("other")
        injectFault(StoreFault.ANSWER_LOST)
        val caller = scope.launch { a.requestClaim() }
        delay(SETTINGS.commitInterval * 2)
        caller.cancel()
        clearFaults()
        delay(10.seconds)
        assertEquals(ClaimDecision.NotRun, host("b").requestClaim())
    }

    @Test
    fun `an answer above the limit is recorded as done without its body`() = ledger {
        val a = host("a", SETTINGS.copy(maxAnswerBytes = 3))
        a.recordDone(a.requestPermit())
        delay(1.seconds)
        assertEquals(ClaimDecision.AlreadyDone(201, null), host("b").requestClaim())
    }

    @Test
    fun `a host with a different shard count never claims`() = ledger {
        host("a").requestPermit()
        val b = host("b", SETTINGS.copy(shardCount = 2))
        repeat(20) { assertIs<ClaimDecision.Pending>(b.requestClaim("key $it")) }
    }

    @Test
    fun `a claim times out while the store hangs`() = ledger {
        val a = host("a")
        a.requestPermit("other")
        store.responseDelay = SETTINGS.outcomeTimeout
        val requestedAt = now
        assertIs<ClaimDecision.Pending>(a.requestClaim(firstSend = true))
        assertEquals(SETTINGS.claimTimeout, now - requestedAt)
    }

    @Test
    fun `a new host reads claims that have been archived`() = ledger {
        val a = host("a")
        a.recordDone(a.requestPermit())
        repeat(20) { a.requestPermit("key $it") }
        assertTrue(store.peekAll().size > 3)
        assertIs<ClaimDecision.AlreadyDone>(host("b").requestClaim())
    }

    @Test
    fun `claims are dropped after the retention and their archives deleted`() = ledger {
        val a = host("a")
        a.requestPermit()
        repeat(20) { a.requestPermit("key $it") }
        delay(SETTINGS.retention + 1.seconds)
        repeat(60) {
            a.requestPermit("late key $it")
            delay(SETTINGS.outcomeTimeout)
        }
        assertTrue(a.ledger.state().shards.single().entries < 65)
        assertIs<ClaimDecision.Send>(host("b").requestClaim())
    }

    private suspend fun LedgerFixture.Host.requestPermit(key: String = "k"): SendPermit =
        assertIs<ClaimDecision.Send>(requestClaim(key)).permit

    private fun ledger(test: suspend LedgerFixture.() -> Unit) = runTest {
        LedgerFixture(this).test()
    }
}
