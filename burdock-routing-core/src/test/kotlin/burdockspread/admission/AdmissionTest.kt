package burdockspread.admission

import burdockspread.error.ErrorCode
import burdockspread.error.ExecutionOutcome
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.OrganisationId
import burdockspread.id.TargetId
import burdockspread.route.Choice
import burdockspread.route.InFlightRequest
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetRegistry
import burdockspread.route.TargetSpec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class AdmissionTest {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val registry = TargetRegistry()
    private val chooser = TargetChooser(FailureDomainId("a"), registry, seed = 3)
    private val admission = Admission(chooser, AdmissionOptions(maxQueueLength = 4))
    private val spec = TargetSpec(TargetId("a-0"), FailureDomainId("a"), batchSlots = 2)
    private val pool = registry.pool(PoolKey.Model(ModelId("m")), listOf(spec))
    private val sentRequests = ArrayDeque<InFlightRequest>()

    @Test
    fun `request that cannot meet its deadline is refused immediately as not run`() {
        fillSlots()
        val decision = admission.admit(RouteRequest(deadline = start + 1.seconds), pool, start)
        val refusal = assertIs<AdmissionDecision.Refuse>(decision).refusal
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal.code)
        assertEquals(ExecutionOutcome.NOT_RUN, refusal.executionOutcome)
        assertEquals(0, admission.waiting(pool))
        assertEquals(2, registry.inFlight(spec.id))
    }

    @Test
    fun `urgent request runs before an earlier one of lower priority`() {
        fillSlots()
        val lowPriority = wait(level = 3, at = start)
        val urgent = wait(level = 0, at = start + 1.seconds)
        assertEquals(listOf(urgent, lowPriority), drain(start + 3.seconds))
    }

    @Test
    fun `low priority request is not starved by urgent requests`() {
        fillSlots()
        val lowPriority = wait(level = 1, at = start)
        val urgent = wait(level = 0, at = start + 2100.milliseconds)
        assertEquals(listOf(lowPriority, urgent), drain(start + 3.seconds))
    }

    @Test
    fun `full queue evicts its last request for a more urgent one`() {
        fillSlots()
        val lowPriority = List(4) { wait(level = 2, at = start) }
        val refused = admission.admit(RouteRequest(priorityLevel = 2), pool, start)
        assertEquals(ErrorCode.OVERLOADED, assertIs<AdmissionDecision.Refuse>(refused).refusal.code)
        wait(level = 0, at = start)
        val effect = assertIs<AdmissionEffect.Refuse>(admission.onSlotFreed(pool, start).first())
        assertEquals(lowPriority.last(), effect.queued)
        assertEquals(4, admission.waiting(pool))
    }

    @Test
    fun `queued request is refused when it can no longer meet its deadline`() {
        fillSlots()
        val request = RouteRequest(deadline = start + 8.seconds)
        assertIs<AdmissionDecision.Wait>(admission.admit(request, pool, start))
        val effects = admission.onSlotFreed(pool, start + 7.seconds)
        val refusal = assertIs<AdmissionEffect.Refuse>(effects.single()).refusal
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal.code)
    }

    @Test
    fun `queued requests of a large organisation do not delay a small one`() {
        val largeAdmission = Admission(chooser, AdmissionOptions(maxQueueLength = 300))
        fillSlots()
        repeat(200) {
            val request = RouteRequest(organisation = OrganisationId("large"))
            assertIs<AdmissionDecision.Wait>(largeAdmission.admit(request, pool, start))
        }
        val small = RouteRequest(organisation = OrganisationId("small"))
        largeAdmission.admit(small, pool, start + 1.seconds)
        val started = ArrayList<RouteRequest>()
        repeat(60) {
            sentRequests.removeFirst().onDone(start + 2.seconds)
            largeAdmission.onSlotFreed(pool, start + 2.seconds).forEach {
                send(assertIs<AdmissionEffect.Run>(it).choice, start + 2.seconds)
                started += it.queued.request
            }
        }
        assertTrue(started.indexOf(small) in 0..60, "${started.indexOf(small)}")
    }

    @Test
    fun `cancelled request leaves the queue exactly once`() {
        fillSlots()
        val queued = wait(level = 0, at = start)
        assertTrue(admission.cancel(queued))
        assertEquals(false, admission.cancel(queued))
        assertEquals(emptyList(), drain(start + 1.seconds))
    }

    private fun fillSlots() {
        repeat(spec.batchSlots) {
            val decision = admission.admit(RouteRequest(), pool, start)
            send(assertIs<AdmissionDecision.Run>(decision).choice, start)
        }
    }

    private fun wait(level: Int, at: Instant): QueuedRequest {
        val decision = admission.admit(RouteRequest(priorityLevel = level), pool, at)
        return assertIs<AdmissionDecision.Wait>(decision).queued
    }

    /** Completes the requests in flight one by one and returns the queued ones in start order. */
    private fun drain(at: Instant): List<QueuedRequest> = buildList {
        while (sentRequests.isNotEmpty()) {
            sentRequests.removeFirst().onDone(at)
            admission.onSlotFreed(pool, at).forEach {
                val run = assertIs<AdmissionEffect.Run>(it)
                send(run.choice, at)
                add(run.queued)
            }
        }
    }

    private fun send(choice: Choice, at: Instant) {
        sentRequests += chooser.onSent(RouteRequest(), choice, at)
    }
}
