package burdockspread.route

import arrow.core.getOrElse
import burdockspread.error.ErrorCode
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class TargetChooserTest {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val registry = TargetRegistry()
    private val chooser = TargetChooser(FailureDomainId("a"), registry, seed = 7)
    private val pool = pool(listOf("a", "b"), each = 4)

    @Test
    fun `local failure domain is preferred unless it is much slower`() {
        repeat(100) { assertEquals("a", choose(RouteRequest()).target.failureDomain.value) }
    }

    @Test
    fun `another failure domain is chosen when the local one is overloaded`() {
        pool.targets.filter { it.failureDomain.value == "a" }.forEach { report(it, queued = 40) }
        pool.targets.filter { it.failureDomain.value == "b" }.forEach { report(it, queued = 0) }
        val chosen = List(100) { choose(RouteRequest()).target.failureDomain.value }
        assertTrue(chosen.count { it == "b" } >= 80, "$chosen")
    }

    @Test
    fun `excluded targets are never chosen`() {
        val all = pool.targets.map { it.id }
        val request = RouteRequest(excludedTargets = all.drop(1).toPersistentSet())
        repeat(20) { assertEquals(all.first(), choose(request).target.id) }
        val refusal =
            chooser.choose(RouteRequest(excludedTargets = all.toPersistentSet()), pool, start)
        assertEquals(ErrorCode.NO_TARGET, refusal.leftOrNull()?.code)
    }

    @Test
    fun `prompt is routed to the target that caches its prefix until the cache is cleared`() {
        val blocks = PromptBlocks.ofText("x".repeat(20_000), "m1")
        val request = RouteRequest(promptTokens = 5_000, blocks = blocks)
        val first = choose(request)
        chooser.onSent(request, first, start).onDone(start)
        repeat(20) { assertEquals(first.target, choose(request).target) }
        chooser.onCacheEvent(CacheEvent.Cleared(first.target.id, 1), start + 1.seconds)
        val cached = chooser.choose(request, pool, start + 2.seconds).getOrElse { error(it) }
        assertEquals(0, cached.estimate.cachedTokens)
    }

    @Test
    fun `own requests sent since an outdated report count towards the load`() {
        pool.targets.forEach { report(it, queued = 0) }
        val counts = HashMap<TargetId, Int>()
        repeat(160) {
            val choice = choose(RouteRequest())
            chooser.onSent(RouteRequest(), choice, start)
            counts.merge(choice.target.id, 1, Int::plus)
        }
        assertTrue(counts.values.max() <= 26, "$counts")
    }

    @Test
    fun `target that refuses connections is skipped during its backoff`() {
        val only = pool(listOf("a"), each = 1)
        val choice = chooser.choose(RouteRequest(), only, start).getOrElse { error(it) }
        val sent = chooser.onSent(RouteRequest(), choice, start)
        sent.onFailed(RequestFailure.NOT_CONNECTED, start)
        assertTrue(chooser.choose(RouteRequest(), only, start).isLeft())
        assertTrue(chooser.choose(RouteRequest(), only, start + 1.seconds).isRight())
    }

    @Test
    fun `queued requests of lower priority do not delay an urgent request`() {
        val only = pool(listOf("a"), each = 1)
        val target = only.targets.first().id
        chooser.onReport(LoadReport(target, start, 0, persistentListOf(0, 64)))
        val urgent = chooser.choose(RouteRequest(priorityLevel = 0), only, start)
        val lowPriority = chooser.choose(RouteRequest(priorityLevel = 1), only, start)
        assertTrue(urgent.getOrElse { error(it) }.estimate.queue < 1.seconds)
        assertTrue(lowPriority.getOrElse { error(it) }.estimate.queue > 10.seconds)
    }

    @Test
    fun `requests for an adapter are routed to targets that have it loaded`() {
        val specs = pool.targets.mapIndexed { index, spec ->
            if (index == 2) spec.copy(adapters = persistentSetOf("retail")) else spec
        }
        val adapterPool = registry.pool(pool.key, specs)
        repeat(20) {
            val choice = chooser.choose(RouteRequest(adapter = "retail"), adapterPool, start)
            assertEquals(specs[2].id, choice.getOrElse { error(it) }.target.id)
        }
    }

    private fun choose(request: RouteRequest): Choice =
        chooser.choose(request, pool, start).getOrElse { error(it) }

    private fun report(spec: TargetSpec, queued: Int) {
        val running = if (queued > 0) spec.batchSlots else 0
        chooser.onReport(LoadReport(spec.id, start, running, persistentListOf(queued)))
    }

    private fun pool(domains: List<String>, each: Int): TargetPool {
        val specs = domains.flatMap { domain ->
            List(each) { TargetSpec(TargetId("$domain-$it"), FailureDomainId(domain), 16) }
        }
        return registry.pool(PoolKey.Model(ModelId("m")), specs)
    }
}
