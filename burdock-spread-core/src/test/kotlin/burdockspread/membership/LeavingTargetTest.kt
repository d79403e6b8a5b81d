/** Tests that the spread carries targets' states into every host's view. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import burdockspread.spread.Entry
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.spread.FakeNetwork
import kotlinx.collections.immutable.persistentListOf
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LeavingTargetTest {
    private val target = TargetId("engine-1")
    private val net = FakeNetwork(12, 5, 8, loss = 0.02)
    private val views = net.peers.associate { peer ->
        val view = TargetView.factory.create(TargetViewSettings(peer.domain))
        val row = DocumentTarget(target, FailureDomainId("d0"), leaving = false)
        view.onDocument(persistentListOf(row), net.now)
        peer.host to view
    }

    private fun working() = views.filterValues { it.snapshot.get().takesNewWork(target) }.keys

    /** Lets the first host see that [target] answers, and spreads what its view publishes. */
    private fun answer(incarnation: Long, leaving: Boolean) {
        val origin = net.peers.first().host
        val effects = views.getValue(origin).onResponse(target, incarnation, leaving, net.now)
        for (effect in effects.filterIsInstance<TargetEffect.Publish>()) {
            val key = EntryKey(EntryKind.TARGET, effect.target.value)
            net.put(origin, Entry(key, effect.presence.version))
        }
    }

    init {
        net.onApplied = { host, entry ->
            val presence = Presence.ofVersion(entry.version)
            views.getValue(host).onPresence(TargetId(entry.key.name), presence, net.now)
        }
    }

    @Test
    fun `a leaving target gets no new work anywhere after 4 seconds though the list says live`() {
        val listed = persistentListOf(PlatformReport(target, PlatformState.LIVE))
        answer(100, leaving = false)
        net.run(5.seconds)
        assertTrue(working().size == net.peers.size)
        answer(100, leaving = true)
        net.run(4.seconds)
        views.values.forEach { it.onPlatformList(listed, net.now) }
        assertTrue(working().isEmpty(), "${working()}")
        answer(200, leaving = false)
        net.run(4.seconds)
        assertTrue(working().size == net.peers.size)
    }

    @Test
    fun `a cut off domain learns of its own leaving target and the others after healing`() {
        answer(100, leaving = false)
        net.run(5.seconds)
        val domain = net.peers.first().domain
        net.cut += domain
        answer(100, leaving = true)
        net.run(4.seconds)
        val inside = net.peers.filter { it.domain == domain }.map { it.host }
        assertTrue(working().none { it in inside })
        assertFalse(working().isEmpty())
        net.cut.clear()
        net.run(15.seconds)
        assertTrue(working().isEmpty(), "${working()}")
    }
}
