package burdockspread.forward.load

import burdockspread.forward.Fixture
import burdockspread.forward.directory.ListedTarget
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Placement of a request whose earlier attempt is in flight until its successor is placed. */
class TakeoverPlacementTest {
    private val now = Fixture.START

    // Guards against the load of two attempts of which one has been cut.
    @Test
    fun `a placed takeover ends the earlier attempt and its replica`() {
        val policy = policy("n1", "n2", "n3")
        val first = assertIs<PlacementDecision.Placed>(policy.submit(call(1), now))
        val takeover = takeover(1, first.target.id).copy(preferredTarget = first.replicaTarget?.id)
        val second = assertIs<PlacementDecision.Placed>(policy.submit(takeover, now))
        assertEquals(first.replicaTarget, second.target)
        assertEquals(mapOf(second.target.id to 1), policy.localLoads().mapValues { it.value.runs })
        assertEquals(1, policy.stats(now).inFlight)
        assertEquals(1, policy.stats(now).ejected)
        policy.inFlight().onEnded(1, AttemptOutcome.DONE, now)
        assertEquals(emptyMap(), policy.localLoads().mapValues { it.value.runs })
        assertEquals(0, policy.stats(now).inFlight)
    }

    // Guards against an attempt that is forgotten while its takeover waits.
    @Test
    fun `a queued takeover leaves the attempt in flight until it is placed`() {
        val policy = policy("n1", "n2")
        val first = assertIs<PlacementDecision.Placed>(policy.submit(call(1), now)).target.id
        val other = fill(policy, besides = first)
        assertIs<PlacementDecision.Waiting>(policy.submit(takeover(1, first), now))
        assertEquals(1, policy.localLoads()[first]?.runs)
        assertEquals(0, policy.poll(now).size)
        policy.cancel(1)
        assertEquals(1, policy.localLoads()[first]?.runs)
        assertIs<PlacementDecision.Waiting>(policy.submit(takeover(1, first), now))
        policy.inFlight().onEnded(other.last(), AttemptOutcome.DONE, now)
        val placed = assertIs<PlacementDecision.Placed>(policy.poll(now).single().decision)
        assertEquals(null, policy.localLoads()[first]?.runs)
        assertEquals(
            mapOf(placed.target.id to other.size),
            policy.localLoads().mapValues {
                it.value.runs
            },
        )
    }

    // Guards against a takeover by the silent target itself.
    @Test
    fun `a takeover is refused at once where every target is avoided`() {
        val policy = policy("n1")
        val first = assertIs<PlacementDecision.Placed>(policy.submit(call(1), now)).target.id
        assertIs<PlacementDecision.Refused>(policy.submit(takeover(1, first), now))
        assertEquals(mapOf(first to 1), policy.localLoads().mapValues { it.value.runs })
        assertEquals(0, policy.waiting)
    }

    // Guards against requests held up behind one that is being served.
    @Test
    fun `a queued takeover holds up no request that the silent target can take`() {
        val policy = policy("n1", "n2")
        val first = assertIs<PlacementDecision.Placed>(policy.submit(call(1), now)).target.id
        fill(policy, besides = first)
        assertIs<PlacementDecision.Waiting>(policy.submit(takeover(1, first), now))
        val next = assertIs<PlacementDecision.Placed>(policy.submit(call(100), now))
        assertEquals(first, next.target.id)
    }

    /** Fills the other targets than [besides] and returns their requests. */
    private fun fill(policy: LoadPolicy, besides: TargetId): List<Long> = (2L..8L).toList().onEach {
        val request = call(it).copy(avoidedTargets = persistentSetOf(besides))
        assertIs<PlacementDecision.Placed>(policy.submit(request, now))
    }

    private fun takeover(localId: Long, silent: TargetId) = call(localId).copy(
        isResume = true,
        avoidedTargets = persistentSetOf(silent),
        supersedes = AttemptOutcome.SILENT,
    )

    private fun call(localId: Long) = PlacementRequest(
        localId,
        promptTokens = 5_000,
        outputTokens = 1_000,
        waitUntil = now + 4.seconds,
        wantsReplica = localId == 1L,
    )

    private fun policy(vararg names: String): LoadPolicy =
        LoadPolicy.factory().create(FailureDomainId("north"), 7) {}.apply {
            val listed = names.map { ListedTarget(Fixture.target(it)) }
            onTargets(Fixture.engineService(), listed.toImmutableList(), now)
        }
}
