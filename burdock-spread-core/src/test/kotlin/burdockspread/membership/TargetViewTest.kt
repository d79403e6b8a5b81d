/** Tests of the target view, one failure scenario each. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentListOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class TargetViewTest {
    private var now = Instant.fromEpochSeconds(1_000_000)
    private val target = TargetId("engine-1")
    private val domain = FailureDomainId("morbi-a")
    private val ownDomainView = create(domain)
    private val otherDomainView = create(FailureDomainId("vapi-c"))

    private fun create(own: FailureDomainId): TargetView =
        TargetView.factory.create(TargetViewSettings(own)).also { setDocument(it, false) }

    private fun setDocument(view: TargetView, leaving: Boolean) =
        view.onDocument(persistentListOf(DocumentTarget(target, domain, leaving)), now)

    private fun TargetView.acceptsWork() = snapshot.get().takesNewWork(target)

    /** Delivers what [ownDomainView] publishes to [otherDomainView]. */
    private fun deliver(effects: List<TargetEffect>) =
        effects.filterIsInstance<TargetEffect.Publish>().forEach {
            otherDomainView.onPresence(it.target, it.presence, now)
        }

    @Test
    fun `a leaving notice seen in one failure domain stops new work in another`() {
        deliver(ownDomainView.onResponse(target, 100, leaving = false, now))
        assertTrue(otherDomainView.acceptsWork())
        deliver(ownDomainView.onResponse(target, 100, leaving = true, now))
        assertFalse(otherDomainView.acceptsWork())
        otherDomainView.onResponse(target, 100, leaving = false, now)
        assertFalse(otherDomainView.acceptsWork())
    }

    @Test
    fun `a restarted target gets work while the list still has it as leaving`() {
        val listed = persistentListOf(PlatformReport(target, PlatformState.LEAVING))
        deliver(ownDomainView.onResponse(target, 100, leaving = false, now))
        deliver(ownDomainView.onPlatformList(listed, now))
        assertFalse(ownDomainView.acceptsWork() || otherDomainView.acceptsWork())
        deliver(ownDomainView.onResponse(target, 200, leaving = false, now))
        deliver(ownDomainView.onPlatformList(listed, now))
        assertTrue(ownDomainView.acceptsWork() && otherDomainView.acceptsWork())
        deliver(ownDomainView.onResponse(target, 100, leaving = true, now))
        assertTrue(ownDomainView.acceptsWork() && otherDomainView.acceptsWork())
    }

    @Test
    fun `a target that reports no incarnation gets work again after a restart`() {
        deliver(ownDomainView.onResponse(target, null, leaving = true, now))
        deliver(ownDomainView.onResponse(target, null, leaving = false, now))
        assertFalse(ownDomainView.acceptsWork())
        deliver(ownDomainView.onRefused(target, now))
        deliver(ownDomainView.onResponse(target, null, leaving = false, now))
        assertTrue(ownDomainView.acceptsWork() && otherDomainView.acceptsWork())
    }

    @Test
    fun `refused connections stop new work on all hosts until the target responds`() {
        deliver(ownDomainView.onResponse(target, 100, leaving = false, now))
        deliver(ownDomainView.onRefused(target, now))
        assertFalse(ownDomainView.acceptsWork())
        assertTrue(otherDomainView.acceptsWork())
        deliver(ownDomainView.onRefused(target, now))
        assertFalse(otherDomainView.acceptsWork())
        now += 5.seconds
        ownDomainView.tick(now)
        assertFalse(ownDomainView.acceptsWork())
        deliver(ownDomainView.onResponse(target, 100, leaving = false, now))
        assertTrue(ownDomainView.acceptsWork() && otherDomainView.acceptsWork())
    }

    @Test
    fun `a host partitioned from a target ejects it only locally`() {
        ownDomainView.onResponse(target, 100, leaving = false, now)
        repeat(9) { assertEquals(0, otherDomainView.onRefused(target, now).size) }
        assertFalse(otherDomainView.acceptsWork())
        now += 3.seconds
        otherDomainView.tick(now)
        assertTrue(otherDomainView.acceptsWork())
    }

    @Test
    fun `the leaving flag in the document applies to every incarnation until it is edited`() {
        setDocument(ownDomainView, leaving = true)
        ownDomainView.onResponse(target, 300, leaving = false, now)
        assertFalse(ownDomainView.acceptsWork())
        setDocument(ownDomainView, leaving = false)
        assertTrue(ownDomainView.acceptsWork())
    }

    @Test
    fun `a target removed from the document is retired by its own failure domain`() {
        ownDomainView.onResponse(target, 100, leaving = false, now)
        val effects = ownDomainView.onDocument(persistentListOf(), now)
        val presence = (effects.single() as TargetEffect.Publish).presence
        assertEquals(MemberState.DEAD, presence.state)
        assertEquals(0, otherDomainView.onDocument(persistentListOf(), now).size)
    }
}
