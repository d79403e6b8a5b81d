package burdockspread.claim

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.fakes.store.StoreFault
import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import com.google.protobuf.ByteString
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.time.Instant

/** Hosts that share one fake store, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LedgerFixture(val scope: TestScope) {
    val store = FakeObjectStore()
    val now: Instant get() = Instant.fromEpochMilliseconds(scope.currentTime)

    fun host(name: String, settings: ClaimSettings = SETTINGS): Host {
        val ledger = ClaimLedger.create(name, store, { now }, settings)
        return Host(ledger, scope.backgroundScope.launch { ledger.runLoop() })
    }

    fun injectFault(fault: StoreFault) {
        store.faults = { fault }
    }

    fun injectFaultOnce(fault: StoreFault) {
        var isInjected = false
        store.faults = {
            val next = if (isInjected) StoreFault.NONE else fault
            isInjected = true
            next
        }
    }

    fun clearFaults() {
        store.faults = { StoreFault.NONE }
    }

    inner class Host(val ledger: ClaimLedger, private val job: Job) {
        suspend fun requestClaim(
            key: String = "k",
            body: String = "body",
            firstSend: Boolean = false,
        ): ClaimDecision {
            val hash = BodyHash.of(ServiceId("desk"), "book", body.encodeToByteArray())
            val organisation = OrganisationId("softweave")
            val request = ClaimRequest(organisation, IdempotencyKey(key), hash, firstSend)
            return ledger.claim(request, now)
        }

        fun recordDone(permit: SendPermit, answer: String = "booked") {
            val outcome = CallOutcome.Done(STATUS, ByteString.copyFromUtf8(answer))
            ledger.record(permit, outcome, now)
        }

        fun stop() = job.cancel()
    }

    companion object {
        const val STATUS = 201
        val SETTINGS = ClaimSettings(shardCount = 1, windowBatches = 3)
    }
}
