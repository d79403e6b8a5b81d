/** Tests that gossip carries the states of targets to the target view of every host. */
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

    private fun accepting() = views.filterValues { it.snapshot.get().takesNewWork(target) }.keys

    /** Delivers a response of [target] to the first host and publishes the effects by gossip. */
    private fun respond(incarnation: Long, leaving: Boolean) {
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
    fun `a leaving target gets no new work on any host after 4 seconds while listed as live`() {
        val listed = persistentListOf(PlatformReport(target, PlatformState.LIVE))
        respond(100, leaving = false)
        net.run(5.seconds)
        assertTrue(accepting().size == net.peers.size)
        respond(100, leaving = true)
        net.run(4.seconds)
        views.values.forEach { it.onPlatformList(listed, net.now) }
        assertTrue(accepting().isEmpty(), "${accepting()}")
        respond(200, leaving = false)
        net.run(4.seconds)
        assertTrue(accepting().size == net.peers.size)
    }

    @Test
    fun `a partitioned domain sees its leaving target, and the others do after it heals`() {
        respond(100, leaving = false)
        net.run(5.seconds)
        val domain = net.peers.first().domain
        net.partitioned += domain
        respond(100, leaving = true)
        net.run(4.seconds)
        val inside = net.peers.filter { it.domain == domain }.map { it.host }
        assertTrue(accepting().none { it in inside })
        assertFalse(accepting().isEmpty())
        net.partitioned.clear()
        net.run(15.seconds)
        assertTrue(accepting().isEmpty(), "${accepting()}")
    }
}
