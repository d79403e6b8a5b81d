package burdockspread.forward.load

import burdockspread.error.ErrorCode
import burdockspread.forward.Fixture
import burdockspread.forward.catalog.EngineSpec
import burdockspread.forward.catalog.Service
import burdockspread.forward.directory.ListedTarget
import burdockspread.forward.directory.TargetEntry
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadPolicyTest {
    private val prompts = PromptLocations()
    private val now = Fixture.START
    private val losses = ArrayList<TargetId>()

    @Test
    fun `requests spread over the runners with replicas in another failure domain`() {
        val policy =
            enginePolicy("n1" to "north", "n2" to "north", "s1" to "south", "s2" to "south")
        val placed =
            (1L..8L).map { assertIs<PlacementDecision.Placed>(policy.submit(engineCall(it), now)) }
        assertEquals(4, placed.map { it.target.id }.toSet().size)
        placed.forEach { assertNotEquals(it.target.failureDomain, it.replicaTarget?.failureDomain) }
    }

    @Test
    fun `a runner receives no more than its KV cache holds`() {
        val policy = enginePolicy("n1" to "north")
        val decisions = (1L..12L).map { policy.submit(engineCall(it), now) }
        assertEquals(8, decisions.count { it is PlacementDecision.Placed })
        assertEquals(4, decisions.count { it is PlacementDecision.Waiting })
    }

    @Test
    fun `free capacity goes to a resume first`() {
        val policy = enginePolicy("n1" to "north")
        (1L..8L).forEach { policy.submit(engineCall(it), now) }
        policy.submit(engineCall(9), now)
        policy.submit(engineCall(10).copy(isResume = true), now)
        policy.inFlight().onEnded(1, AttemptOutcome.DONE, now)
        val settled = policy.poll(now)
        assertEquals(listOf(10L), settled.map { it.localId })
    }

    // Two hosts send prompts at the same time; the engine reads one after the other.
    @Test
    fun `a prompt goes where no other host's prompt waits to be read`() {
        val policy = enginePolicy("one" to "north", "two" to "north")
        policy.onPeerLoads(
            mapOf(TargetId("one") to HostLoad(1, 5_000), TargetId("two") to HostLoad(2)),
            now + 1.milliseconds,
        )
        val chosen = (1L..8L).map {
            val placed = policy.submit(engineCall(it), now + 2.milliseconds)
            policy.inFlight().onEnded(it, AttemptOutcome.CANCELLED, now + 2.milliseconds)
            assertIs<PlacementDecision.Placed>(placed).target.id.value
        }
        assertEquals(setOf("two"), chosen.toSet())
        val later = policy.submit(engineCall(9), now + 2_100.milliseconds)
        assertEquals("one", assertIs<PlacementDecision.Placed>(later).target.id.value)
    }

    @Test
    fun `an expired wait is refused as not run with a retry delay`() {
        val policy = enginePolicy("n1" to "north")
        (1L..8L).forEach { policy.submit(engineCall(it), now) }
        policy.submit(engineCall(9), now)
        val settled = policy.poll(now + 1.seconds).single()
        val refusal = assertIs<PlacementDecision.Refused>(settled.decision).refusal
        assertEquals(ErrorCode.OVERLOADED, refusal.code)
        assertTrue(checkNotNull(refusal.retryAfter) > 1.seconds)
    }

    @Test
    fun `an unreachable target is ejected for a while`() {
        val policy = plainPolicy("a", "b")
        val first = assertIs<PlacementDecision.Placed>(policy.submit(plainCall(1), now)).target
        policy.inFlight().onEnded(1, AttemptOutcome.UNREACHABLE, now)
        repeat(20) { i ->
            val next = assertIs<PlacementDecision.Placed>(
                policy.submit(plainCall(i + 2L), now),
            ).target
            assertNotEquals(first.id, next.id)
            policy.inFlight().onEnded(i + 2L, AttemptOutcome.DONE, now)
        }
    }

    @Test
    fun `a failure domain with a silent target is avoided until others respond`() {
        val policy =
            enginePolicy("n1" to "north", "n2" to "north", "n3" to "north", "s1" to "south")
        val silent = assertIs<PlacementDecision.Placed>(policy.submit(engineCall(1), now)).target
        assertEquals("north", silent.failureDomain.value)
        policy.inFlight().onEnded(1, AttemptOutcome.SILENT, now)
        val next = assertIs<PlacementDecision.Placed>(policy.submit(engineCall(2), now)).target
        assertEquals("s1", next.id.value)
    }

    @Test
    fun `a peer's loss report keeps requests and replicas away and is forwarded once`() {
        val policy = enginePolicy("n1" to "north", "n2" to "north", "s1" to "south", "e1" to "east")
        val later = now + 10.milliseconds
        assertTrue(policy.onPeerLostTarget(TargetId("s1"), later))
        assertFalse(policy.onPeerLostTarget(TargetId("s1"), later))
        assertFalse(policy.onPeerLostTarget(TargetId("unknown"), later))
        val placed =
            (1L..4L).map {
                assertIs<PlacementDecision.Placed>(policy.submit(engineCall(it), later))
            }
        val used = placed.flatMap { listOf(it.target.id, it.replicaTarget?.id) }
        assertFalse(TargetId("s1") in used, "$used")
    }

    @Test
    fun `a loss is reported once and a target that registers later is not suspect`() {
        val policy =
            enginePolicy("n1" to "north", "n2" to "north", "n3" to "north", "s1" to "south")
        val later = now + 10.milliseconds
        policy.submit(engineCall(1), later)
        policy.submit(engineCall(2), later)
        policy.inFlight().onEnded(1, AttemptOutcome.BROKEN, later)
        policy.inFlight().onEnded(2, AttemptOutcome.BROKEN, later)
        assertEquals(1, losses.size)
        val fresh = listOf("n9" to "north", "s1" to "south")
            .map { (name, domain) -> ListedTarget(Fixture.target(name, domain = domain)) }
        policy.onTargets(Fixture.engineService(), fresh.toImmutableList(), later + 1.seconds)
        val next =
            assertIs<PlacementDecision.Placed>(
                policy.submit(engineCall(3), later + 1.seconds),
            ).target
        assertEquals("n9", next.id.value)
    }

    @Test
    fun `a replica is placed even if every other runner looks full`() {
        val policy = enginePolicy("n1" to "north", "s1" to "south")
        (1L..16L).forEach { policy.submit(engineCall(it).copy(wantsReplica = false), now) }
        policy.inFlight().onEnded(1, AttemptOutcome.DONE, now)
        policy.inFlight().onEnded(2, AttemptOutcome.DONE, now)
        assertNotNull(
            assertIs<PlacementDecision.Placed>(policy.submit(engineCall(17), now)).replicaTarget,
        )
    }

    @Test
    fun `a runner that crashed during a stream is ejected and its domain suspected`() {
        val policy = enginePolicy("n1" to "north", "n2" to "north", "s1" to "south")
        val crashed = assertIs<PlacementDecision.Placed>(policy.submit(engineCall(1), now)).target
        assertEquals("north", crashed.failureDomain.value)
        policy.inFlight().onEnded(1, AttemptOutcome.BROKEN, now)
        val next =
            (2L..4L).map {
                assertIs<PlacementDecision.Placed>(policy.submit(engineCall(it), now)).target
            }
        assertEquals(setOf("s1"), next.map { it.id.value }.toSet())
    }

    @Test
    fun `hosts with the same view spread over runners without reports`() {
        val names = Array(8) { "n$it" to "north" }
        val chosen = (1L..14L).map { host ->
            val policy = enginePolicy(*names, seed = host)
            policy.inFlight()
            assertIs<PlacementDecision.Placed>(policy.submit(engineCall(1), now)).target.id
        }
        assertTrue(chosen.groupBy { it }.values.maxOf { it.size } <= 5, "$chosen")
    }

    @Test
    fun `a target that fails much more often than its pool gets few requests`() {
        val policy = plainPolicy("a", "b", "c")
        var localId = 0L
        val sent = HashMap<TargetId, Int>()
        repeat(300) {
            val target =
                assertIs<PlacementDecision.Placed>(policy.submit(plainCall(++localId), now)).target
            sent.merge(target.id, 1, Int::plus)
            val bad = target.id.value == "a"
            policy.inFlight().onEnded(
                localId,
                if (bad) AttemptOutcome.FAILED else AttemptOutcome.DONE,
                now,
            )
        }
        assertTrue(checkNotNull(sent[TargetId("a")]) < 30, "$sent")
    }

    @Test
    fun `the load that a target reports for other hosts counts`() {
        val policy = plainPolicy("a", "b")
        val first = assertIs<PlacementDecision.Placed>(policy.submit(plainCall(1), now)).target
        policy.inFlight().onResponseHead(1, ReportedLoad(running = 6, waiting = 4, slots = 6), now)
        policy.inFlight().onEnded(1, AttemptOutcome.DONE, now)
        val next = assertIs<PlacementDecision.Placed>(policy.submit(plainCall(2), now)).target
        assertNotEquals(first.id, next.id)
    }

    @Test
    fun `the target with the replica is preferred and failed targets are avoided`() {
        val policy = enginePolicy("n1" to "north", "n2" to "north", "s1" to "south")
        val request = engineCall(1).copy(
            preferredTarget = TargetId("s1"),
            avoidedTargets = persistentSetOf(TargetId("n1")),
        )
        assertEquals(
            "s1",
            assertIs<PlacementDecision.Placed>(policy.submit(request, now)).target.id.value,
        )
        val avoiding = engineCall(2)
            .copy(avoidedTargets = persistentSetOf(TargetId("n1"), TargetId("s1")))
        assertEquals(
            "n2",
            assertIs<PlacementDecision.Placed>(policy.submit(avoiding, now)).target.id.value,
        )
    }

    @Test
    fun `the only target with capacity in a large pool is found`() {
        val full = (1..999).map { Fixture.target("full$it", Fixture.DESK, slots = 0) }
        val free = Fixture.target("free", Fixture.DESK)
        val policy = policy(Fixture.plainService(), full + free)
        assertEquals(
            free,
            assertIs<PlacementDecision.Placed>(policy.submit(plainCall(1), now)).target,
        )
    }

    @Test
    fun `no replica is requested from runners that do not replicate`() {
        val bare = Service(Fixture.DRAFTS, 300, EngineSpec(12, 55_000, replicatesKvCache = false))
        val runners = listOf("n1" to "north", "s1" to "south")
        val policy =
            policy(bare, runners.map { (name, where) -> Fixture.target(name, domain = where) })
        assertNull(
            assertIs<PlacementDecision.Placed>(policy.submit(engineCall(1), now)).replicaTarget,
        )
    }

    @Test
    fun `KV cache is released after a request and its replica`() {
        val policy = enginePolicy("n1" to "north", "s1" to "south")
        repeat(50) { round ->
            val tickets = (1L..8L).map { round * 8L + it }
            tickets.forEach {
                assertIs<PlacementDecision.Placed>(policy.submit(engineCall(it), now))
            }
            tickets.forEach { policy.inFlight().onResponseHead(it, null, now) }
            tickets.forEach { policy.inFlight().onEnded(it, AttemptOutcome.DONE, now) }
        }
    }

    @Test
    fun `without any target a request is refused immediately`() {
        val policy = plainPolicy()
        val refused = assertIs<PlacementDecision.Refused>(policy.submit(plainCall(1), now))
        assertEquals(ErrorCode.NO_TARGET, refused.refusal.code)
    }

    @Test
    fun `a request whose prompt a peer has sent goes to the same target`() {
        val names = List(8) { "t$it" to "north" }.toTypedArray()
        repeat(8) { i ->
            prompts.onPeerSent(PROMPT, TargetId("t$i"), now)
            val policy = enginePolicy(*names, seed = i.toLong())
            assertEquals("t$i", placedAt(policy, engineCall(1).copy(prompt = PROMPT)))
        }
    }

    @Test
    fun `a target that has read the prompt is not overloaded for it`() {
        prompts.onPeerSent(PROMPT, TargetId("one"), now)
        val policy = enginePolicy("one" to "north", "two" to "north")
        policy.onPeerLoads(mapOf(TargetId("one") to HostLoad(7)), now + 1.milliseconds)
        assertEquals("two", placedAt(policy, engineCall(1).copy(prompt = PROMPT)))
    }

    @Test
    fun `a prompt is not looked for where its target has restarted`() {
        val policy = enginePolicy("one" to "north", "two" to "north")
        prompts.onPeerSent(PROMPT, TargetId("one"), now)
        policy.onPeerLoads(mapOf(TargetId("one") to HostLoad(2)), now + 1.milliseconds)
        val targets = listOf(
            Fixture.target("one", startedAtMillis = 2),
            Fixture.target("two"),
        ).map { ListedTarget(it) }.toImmutableList()
        policy.onTargets(Fixture.engineService(), targets, now + 1.seconds)
        policy.onPeerLoads(mapOf(TargetId("one") to HostLoad(2)), now + 1.seconds)
        assertEquals("two", placedAt(policy, engineCall(1).copy(prompt = PROMPT)))
    }

    // Guards against resumes and last resorts at targets that may be gone.
    @Test
    fun `a target that may be gone is the last choice and gets nothing after its deadline`() {
        val policy = enginePolicy("kept" to "north", "sound" to "north")
        val deadline = now + 1.seconds
        val kept = ListedTarget(Fixture.target("kept"), unconfirmedUntil = deadline)
        val sound = ListedTarget(Fixture.target("sound"))
        val resume = engineCall(1).copy(preferredTarget = TargetId("kept"), isResume = true)
        policy.onTargets(Fixture.engineService(), persistentListOf(kept, sound), now)
        assertEquals("sound", placedAt(policy, resume))
        policy.onTargets(Fixture.engineService(), persistentListOf(kept), now)
        assertEquals("kept", placedAt(policy, engineCall(2)))
        val avoided = engineCall(3).copy(avoidedTargets = persistentSetOf(TargetId("kept")))
        listOf(engineCall(4), avoided, resume.copy(localId = 5)).forEach {
            val late = it.copy(waitUntil = deadline + 1.seconds)
            assertIs<PlacementDecision.Waiting>(policy.submit(late, deadline))
            policy.cancel(it.localId)
        }
    }

    private fun placedAt(policy: LoadPolicy, request: PlacementRequest) =
        assertIs<PlacementDecision.Placed>(policy.submit(request, now)).target.id.value

    private fun engineCall(localId: Long) = PlacementRequest(
        localId,
        promptTokens = 5_000,
        outputTokens = 1_000,
        waitUntil = now + 500.milliseconds,
        wantsReplica = true,
    )

    private fun plainCall(localId: Long) = PlacementRequest(
        localId,
        waitUntil =
        now + 100.milliseconds,
    )

    private fun enginePolicy(vararg targets: Pair<String, String>, seed: Long = 7) = policy(
        Fixture.engineService(),
        targets.map { (name, domain) -> Fixture.target(name, domain = domain) },
        seed,
    )

    private fun plainPolicy(vararg names: String) =
        policy(Fixture.plainService(), names.map { Fixture.target(it, Fixture.DESK) })

    private fun policy(service: Service, targets: List<TargetEntry>, seed: Long = 7): LoadPolicy =
        LoadPolicy.factory(prompts = prompts).create(FailureDomainId("north"), seed) {
            losses +=
                it.id
        }.apply {
            onTargets(service, targets.map { ListedTarget(it) }.toImmutableList(), now)
        }

    private companion object {
        const val PROMPT = 0x5c1e07a2L
    }
}
