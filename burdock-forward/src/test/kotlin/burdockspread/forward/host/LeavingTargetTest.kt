package burdockspread.forward.host

import burdockspread.forward.relay.UpdateTiming
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Targets that leave while relays or the store are in trouble. */
class LeavingTargetTest {
    // Guards against removals that were held back for seconds because a watch had ended.
    @Test
    fun `a target that leaves while the store drops its history gets no more requests`() = runTest {
        val fleet = fleet(domains = 3, hostsPerDomain = 5)
        fleet.dropHistoryDuringRemoval()
        delay(LEAVE_LIMIT - WATCHES_MUTED)
        assertEquals(emptyList(), fleet.usersOf(LEAVING))
    }

    // Guards against hosts that restored a removed target for each other, for good.
    @Test
    fun `hosts do not confirm a removed target to each other`() = runTest {
        val fleet = fleet(domains = 3, hostsPerDomain = 5)
        fleet.dropHistoryDuringRemoval()
        delay(1.minutes)
        assertEquals(emptyList(), fleet.usersOf(LEAVING))
    }

    // Guards against staleness that added up over a silent relay, its successor and an own list.
    @Test
    fun `hosts in touch stop using a leaving target in time whatever their relays suffer`() {
        val late = TroubleOfRelays.all().filterNot { it.isKept() }
        assertEquals(emptyList(), late.map { it.toString() })
    }

    // Guards against targets that were dropped because their entries had expired during an outage.
    @Test
    fun `entries that expired during an outage stay usable until they can be back`() = runTest {
        val fleet = fleet(domains = 2, hostsPerDomain = 5)
        fleet.hosts.forEach { it.storeLink.state = LinkState.LOST }
        delay(4.seconds)
        fleet.store.remove("targets", STAYING)
        fleet.store.remove("targets", LEAVING)
        delay(1.seconds)
        fleet.hosts.forEach { it.storeLink.state = LinkState.UP }
        repeat(15) {
            delay(100.milliseconds)
            assertEquals(emptyList(), fleet.hosts.map { it.name } - fleet.usersOf(STAYING))
        }
        fleet.store.put("targets", STAYING, STAYING)
        delay(STABLE_TIME - 1_500.milliseconds)
        assertEquals(emptyList(), fleet.hosts.map { it.name } - fleet.usersOf(STAYING))
        assertEquals(emptyList(), fleet.usersOf(LEAVING))
    }

    // Guards against followers that watch the store because their relay answers them too late.
    @Test
    fun `while nothing fails only the relays call the store`() = runTest {
        val fleet = fleet(domains = 3, hostsPerDomain = 5)
        val before = fleet.store.calls
        repeat(600) {
            delay(100.milliseconds)
            if (it % 10 == 0) fleet.store.put("targets", STAYING, STAYING)
            assertEquals(3, fleet.relays.size)
        }
        val watches = 2 * 3 * (1.minutes / UpdateTiming().watchWait)
        val changes = 3 * 60
        assertTrue(fleet.store.calls - before <= watches + changes)
    }

    /** Trouble of some relays' links around the removal of a target. */
    private data class TroubleOfRelays(
        val hostsPerDomain: Int,
        val affected: Affected,
        val toStore: LinkState,
        val toPeers: LinkState,
        val leadTime: Duration,
        val isAnnounced: Boolean,
    ) {
        /** Runs it; returns whether the hosts in touch kept the limit. */
        fun isKept(): Boolean {
            var late = emptyList<String>()
            runTest {
                val fleet = fleet(domains = 3, hostsPerDomain)
                val troubled = affected.select(fleet)
                troubled.forEach { it.storeLink.state = toStore }
                troubled.forEach { it.peerLink.state = toPeers }
                delay(leadTime)
                if (isAnnounced) {
                    fleet.store.put("targets", LEAVING, "$LEAVING leaving")
                } else {
                    fleet.store.remove("targets", LEAVING)
                }
                delay(LEAVE_LIMIT)
                late = fleet.usersOf(LEAVING) - troubled.map { it.name }.toSet()
            }
            return late.isEmpty()
        }

        companion object {
            private val LEAD_TIMES = listOf(0, 100, 300, 600, 1_000, 1_500, 2_500, 4_000)

            fun all(): List<TroubleOfRelays> = buildList {
                for (size in listOf(5, 9)) {
                    for (affected in Affected.entries) {
                        for (toStore in LinkState.entries) {
                            for (toPeers in LinkState.entries) {
                                for (lead in LEAD_TIMES) {
                                    for (announced in listOf(true, false)) {
                                        add(
                                            TroubleOfRelays(
                                                size,
                                                affected,
                                                toStore,
                                                toPeers,
                                                lead.milliseconds,
                                                announced,
                                            ),
                                        )
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    /** The relays that are in trouble. */
    private enum class Affected(
        val select: (FleetSimulation) -> List<FleetSimulation.SimulatedHost>,
    ) {
        ONE({ it.relays.take(1) }),
        ALL_OF_A_DOMAIN({ fleet -> fleet.relays.filter { it.domain == "domain-0" } }),
        ALL({ it.relays }),
    }

    private companion object {
        const val STAYING = "staying"
        const val LEAVING = "leaving-soon"

        /** Two seconds less the time to connect to a target. */
        val LEAVE_LIMIT: Duration = 2.seconds - 250.milliseconds

        val WATCHES_MUTED: Duration = 1.seconds

        /** Calm time after which the hosts count as in touch. */
        val STABLE_TIME: Duration = 3.seconds

        /** Returns a fleet that has settled: each domain has its relays, all others follow them. */
        suspend fun TestScope.fleet(domains: Int, hostsPerDomain: Int): FleetSimulation {
            val fleet = FleetSimulation(this, domains, hostsPerDomain)
            fleet.store.put("settings", "newest", "1")
            fleet.store.put("targets", STAYING, STAYING)
            fleet.store.put("targets", LEAVING, LEAVING)
            fleet.start()
            delay(3.seconds)
            return fleet
        }

        /** Removes the target while watches hear nothing, and then ends them. */
        suspend fun FleetSimulation.dropHistoryDuringRemoval() {
            store.areWatchesMuted = true
            store.remove("targets", LEAVING)
            delay(WATCHES_MUTED)
            store.compact()
        }

        fun FleetSimulation.usersOf(target: String): List<String> =
            hosts.filter { target in it.usableTargets }.map { it.name }
    }
}
