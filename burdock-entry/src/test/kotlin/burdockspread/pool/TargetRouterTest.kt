package burdockspread.pool

import burdockspread.document.DocumentView
import burdockspread.document.FailureDomain
import burdockspread.document.SectionBody
import burdockspread.document.Target
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.route.RouteRequest
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Instant

class TargetRouterTest {
    private val now = Instant.fromEpochSeconds(1_000)
    private val domain = FailureDomainId("a")
    private val model = ModelId("m")
    private val acceptingTargets = mutableSetOf("t-1", "t-2")
    private val router = TargetRouter(domain, seed = 7) { it.id.value in acceptingTargets }

    init {
        router.rebuild(document())
    }

    private fun document(): DocumentView {
        val targets = persistentListOf(target("t-1"), target("t-2"))
        val failureDomain = FailureDomain(domain, "r", persistentListOf(), targets)
        return DocumentView.of(listOf(SectionBody("a", "o", 1, failureDomain = failureDomain)))
    }

    private fun target(name: String): Target = Target(
        TargetId(name),
        domain,
        "127.0.0.1:1",
        persistentListOf(model),
        service = null,
        checksFencing = false,
        leaving = false,
        batchSlots = 4,
    )

    private fun route(vararg excludedTargets: String): String? {
        val ids = persistentSetOf(*excludedTargets.map { TargetId(it) }.toTypedArray())
        val route =
            router.route(poolOf(model), RouteRequest(excludedTargets = ids), now).getOrNull()
        return route?.target?.id?.value
    }

    @Test
    fun `an avoided target is skipped while another one is available`() {
        repeat(20) { assertEquals("t-2", route("t-1")) }
    }

    @Test
    fun `an avoided target is selected when no other one is left`() {
        assertTrue(route("t-1", "t-2") in acceptingTargets)
    }

    @Test
    fun `a target that accepts no work is never selected`() {
        acceptingTargets -= "t-1"
        router.rebuild(document())
        repeat(20) { assertEquals("t-2", route()) }
        assertEquals("t-2", route("t-1", "t-2"))
    }
}
