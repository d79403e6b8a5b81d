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
    private val flights = ArrayDeque<InFlightRequest>()

    @Test
    fun `a request that cannot meet its deadline is refused at once as not run`() {
        fill()
        val decision = admission.admit(RouteRequest(deadline = start + 1.seconds), pool, start)
        val refusal = assertIs<AdmissionDecision.Refuse>(decision).refusal
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal.code)
        assertEquals(ExecutionOutcome.NOT_RUN, refusal.executionOutcome)
        assertEquals(0, admission.waiting(pool))
        assertEquals(2, registry.inFlight(spec.id))
    }

    @Test
    fun `an urgent request runs before one that came earlier`() {
        fill()
        val patient = wait(level = 3, at = start)
        val urgent = wait(level = 0, at = start + 1.seconds)
        assertEquals(listOf(urgent, patient), drain(start + 3.seconds))
    }

    @Test
    fun `a low level does not starve behind urgent requests`() {
        fill()
        val patient = wait(level = 1, at = start)
        val urgent = wait(level = 0, at = start + 2100.milliseconds)
        assertEquals(listOf(patient, urgent), drain(start + 3.seconds))
    }

    @Test
    fun `a full queue gives the place of its last request to a more urgent one`() {
        fill()
        val patient = List(4) { wait(level = 2, at = start) }
        val refused = admission.admit(RouteRequest(priorityLevel = 2), pool, start)
        assertEquals(ErrorCode.OVERLOADED, assertIs<AdmissionDecision.Refuse>(refused).refusal.code)
        wait(level = 0, at = start)
        val effect = assertIs<AdmissionEffect.Refuse>(admission.onSlotFreed(pool, start).first())
        assertEquals(patient.last(), effect.queued)
        assertEquals(4, admission.waiting(pool))
    }

    @Test
    fun `a waiting request is refused when its deadline comes near without a slot`() {
        fill()
        val request = RouteRequest(deadline = start + 8.seconds)
        assertIs<AdmissionDecision.Wait>(admission.admit(request, pool, start))
        val effects = admission.onSlotFreed(pool, start + 7.seconds)
        val refusal = assertIs<AdmissionEffect.Refuse>(effects.single()).refusal
        assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refusal.code)
    }

    @Test
    fun `waiting requests of a large organisation do not push back a small one`() {
        val wide = Admission(chooser, AdmissionOptions(maxQueueLength = 300))
        fill()
        repeat(200) {
            val request = RouteRequest(organisation = OrganisationId("large"))
            assertIs<AdmissionDecision.Wait>(wide.admit(request, pool, start))
        }
        val small = RouteRequest(organisation = OrganisationId("small"))
        wide.admit(small, pool, start + 1.seconds)
        val started = ArrayList<RouteRequest>()
        repeat(60) {
            flights.removeFirst().onDone(start + 2.seconds)
            wide.onSlotFreed(pool, start + 2.seconds).forEach {
                send(assertIs<AdmissionEffect.Run>(it).choice, start + 2.seconds)
                started += it.queued.request
            }
        }
        assertTrue(started.indexOf(small) in 0..60, "${started.indexOf(small)}")
    }

    @Test
    fun `a cancelled request leaves the queue once`() {
        fill()
        val queued = wait(level = 0, at = start)
        assertTrue(admission.cancel(queued))
        assertEquals(false, admission.cancel(queued))
        assertEquals(emptyList(), drain(start + 1.seconds))
    }

    private fun fill() {
        repeat(spec.batchSlots) {
            val decision = admission.admit(RouteRequest(), pool, start)
            send(assertIs<AdmissionDecision.Run>(decision).choice, start)
        }
    }

    private fun wait(level: Int, at: Instant): QueuedRequest {
        val decision = admission.admit(RouteRequest(priorityLevel = level), pool, at)
        return assertIs<AdmissionDecision.Wait>(decision).queued
    }

    /** Ends one flight after the other and returns the tickets in the order of their start. */
    private fun drain(at: Instant): List<QueuedRequest> = buildList {
        while (flights.isNotEmpty()) {
            flights.removeFirst().onDone(at)
            admission.onSlotFreed(pool, at).forEach {
                val run = assertIs<AdmissionEffect.Run>(it)
                send(run.choice, at)
                add(run.queued)
            }
        }
    }

    private fun send(choice: Choice, at: Instant) {
        flights += chooser.onSent(RouteRequest(), choice, at)
    }
}
