/** Tests of the target view, each failure by name. */
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
    private val here = create(domain)
    private val elsewhere = create(FailureDomainId("vapi-c"))

    private fun create(own: FailureDomainId): TargetView =
        TargetView.factory.create(TargetViewSettings(own)).also { document(it, false) }

    private fun document(view: TargetView, leaving: Boolean) =
        view.onDocument(persistentListOf(DocumentTarget(target, domain, leaving)), now)

    private fun TargetView.works() = snapshot.get().takesNewWork(target)

    /** Brings what [here] publishes to [elsewhere]. */
    private fun tell(effects: List<TargetEffect>) =
        effects.filterIsInstance<TargetEffect.Publish>().forEach {
            elsewhere.onPresence(it.target, it.presence, now)
        }

    @Test
    fun `a notice that one failure domain sees stops new work in another`() {
        tell(here.onResponse(target, 100, leaving = false, now))
        assertTrue(elsewhere.works())
        tell(here.onResponse(target, 100, leaving = true, now))
        assertFalse(elsewhere.works())
        elsewhere.onResponse(target, 100, leaving = false, now)
        assertFalse(elsewhere.works())
    }

    @Test
    fun `a target that comes back as a new process gets work though the list still says leaving`() {
        val listed = persistentListOf(PlatformReport(target, PlatformState.LEAVING))
        tell(here.onResponse(target, 100, leaving = false, now))
        tell(here.onPlatformList(listed, now))
        assertFalse(here.works() || elsewhere.works())
        tell(here.onResponse(target, 200, leaving = false, now))
        tell(here.onPlatformList(listed, now))
        assertTrue(here.works() && elsewhere.works())
        tell(here.onResponse(target, 100, leaving = true, now))
        assertTrue(here.works() && elsewhere.works())
    }

    @Test
    fun `a target that tells no incarnation gets work after it was gone and came back`() {
        tell(here.onResponse(target, null, leaving = true, now))
        tell(here.onResponse(target, null, leaving = false, now))
        assertFalse(here.works())
        tell(here.onRefused(target, now))
        tell(here.onResponse(target, null, leaving = false, now))
        assertTrue(here.works() && elsewhere.works())
    }

    @Test
    fun `refused connections stop new work everywhere and an answer brings it back`() {
        tell(here.onResponse(target, 100, leaving = false, now))
        tell(here.onRefused(target, now))
        assertFalse(here.works())
        assertTrue(elsewhere.works())
        tell(here.onRefused(target, now))
        assertFalse(elsewhere.works())
        now += 5.seconds
        here.tick(now)
        assertFalse(here.works())
        tell(here.onResponse(target, 100, leaving = false, now))
        assertTrue(here.works() && elsewhere.works())
    }

    @Test
    fun `a host that is cut off from a target avoids it for itself only`() {
        here.onResponse(target, 100, leaving = false, now)
        repeat(9) { assertEquals(0, elsewhere.onRefused(target, now).size) }
        assertFalse(elsewhere.works())
        now += 3.seconds
        elsewhere.tick(now)
        assertTrue(elsewhere.works())
    }

    @Test
    fun `the document's leaving mark holds for every incarnation until it is edited`() {
        document(here, leaving = true)
        here.onResponse(target, 300, leaving = false, now)
        assertFalse(here.works())
        document(here, leaving = false)
        assertTrue(here.works())
    }

    @Test
    fun `a target that left the document is retired by its own failure domain`() {
        here.onResponse(target, 100, leaving = false, now)
        val effects = here.onDocument(persistentListOf(), now)
        val presence = (effects.single() as TargetEffect.Publish).presence
        assertEquals(MemberState.DEAD, presence.state)
        assertEquals(0, elsewhere.onDocument(persistentListOf(), now).size)
    }
}
