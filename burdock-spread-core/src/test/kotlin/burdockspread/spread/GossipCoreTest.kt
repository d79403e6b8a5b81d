/** Tests of the gossip core: random schedules, and one failure scenario each. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class GossipCoreTest {
    private val now = Instant.fromEpochSeconds(1_000_000)

    private fun section(name: String, version: Long, bytes: Int = 200) =
        Entry(EntryKey(EntryKind.SECTION, name), version, EntryBytes.of(ByteArray(bytes) { 1 }))

    @Test
    fun `versions never regress and healed partitions converge within 60 rounds`() {
        for (seed in 1..25) {
            val net = FakeNetwork(seed, 4, 6, loss = 0.05, duplicates = 0.1)
            val schedule = Schedule(net, Random(seed))
            repeat(120) { schedule.step() }
            schedule.heal()
            val rounds = net.runUntil(60.seconds) { net.converged() } / 250.milliseconds
            assertTrue(rounds <= 60, "seed $seed: $rounds rounds")
            schedule.assertLatestEverywhere(seed)
        }
    }

    /** Random puts, replays of old versions, partitions, crashes and restarts. */
    private inner class Schedule(private val net: FakeNetwork, private val random: Random) {
        private val latest = HashMap<String, Entry>()
        private val all = ArrayList<Entry>()
        private var version = 0L

        fun step() {
            val peer = net.peers.random(random)
            when (random.nextInt(10)) {
                in 0..4 -> put(peer.host)
                5 -> if (all.isNotEmpty() && peer.host !in net.down) {
                    net.put(peer.host, all.random(random))
                }
                6 -> if (!net.partitioned.add(peer.domain)) net.partitioned.remove(peer.domain)
                7 -> if (net.down.size < 6) net.down += peer.host
                8 -> restart()
                else -> Unit
            }
            net.run(random.nextInt(1, 1500).milliseconds)
        }

        /** Ends all faults and has one relay publish the document again by gossip. */
        fun heal() {
            net.partitioned.clear()
            while (net.down.isNotEmpty()) restart()
            val relay = net.peers.random(random).host
            latest.values.forEach { net.put(relay, it) }
        }

        fun assertLatestEverywhere(seed: Int) {
            for (entry in latest.values) {
                for ((host, core) in net.cores) {
                    val held = core.entry(entry.key)
                    val right = if (entry.retired) held?.retired != false else held == entry
                    assertTrue(right, "seed $seed: $held instead of $entry at $host")
                }
            }
        }

        private fun put(host: HostId) {
            if (host in net.down) return
            val name = "s${random.nextInt(40)}"
            val retired = random.nextInt(8) == 0
            val entry = section(name, ++version, random.nextInt(300)).copy(retired = retired)
            all += entry
            latest[name] = entry
            net.put(host, entry)
        }

        private fun restart() {
            val host = net.down.firstOrNull() ?: return
            net.start(net.peers.first { it.host == host })
            net.down -= host
        }
    }

    @Test
    fun `an edit at one host reaches 60 hosts within 4 seconds`() {
        val net = FakeNetwork(3, 6, 10)
        net.run(5.seconds)
        net.put(net.peers[7].host, section("edit", 9, 2_000))
        val took = net.runUntil(20.seconds) { net.cores.values.all { it.has("edit", 9) } }
        assertTrue(took <= 4.seconds, "took $took")
    }

    @Test
    fun `a host that missed every rumour is repaired by anti-entropy`() {
        val net = FakeNetwork(4, 2, 5) { it.copy(maxSends = 0) }
        repeat(300) { net.put(net.peers[0].host, section("s$it", 1)) }
        val took = net.runUntil(60.seconds) { net.converged() }
        assertTrue(took <= 20.seconds, "took $took")
        assertEquals(300, net.cores.values.last().entries(EntryKind.SECTION).size)
    }

    @Test
    fun `a stale relay cannot restore an old version`() {
        val core = RealGossipCore(settings())
        core.putLocal(section("limits", 8), now)
        core.onPush(PushRequest(HostId("relay"), persistentListOf(section("limits", 7))), now)
        core.onExchange(
            ExchangeRequest(HostId("relay"), entries = persistentListOf(section("limits", 6))),
            now,
        )
        assertEquals(8, core.entry(EntryKey(EntryKind.SECTION, "limits"))?.version)
    }

    @Test
    fun `a host that missed a tombstone does not restore the entry`() {
        val net = FakeNetwork(5, 2, 4)
        net.put(net.peers[0].host, section("old", 1))
        net.run(5.seconds)
        val partitioned = net.peers.last()
        net.partitioned += partitioned.domain
        net.put(net.peers[0].host, section("old", 2, 0).copy(retired = true))
        net.run(10.seconds)
        net.partitioned.clear()
        net.run(20.seconds)
        assertTrue(net.cores.values.all { it.entries(EntryKind.SECTION).isEmpty() })
    }

    @Test
    fun `a joining host gets all entries within 10 seconds`() {
        val net = FakeNetwork(6, 3, 5)
        val sections = List(700) { section("s$it", 1, 1_500) }.toImmutableList()
        net.cores.values.forEach { it.preload(sections, net.now) }
        net.run(10.seconds)
        val joining = net.peers.last()
        net.start(joining)
        val took = net.runUntil(60.seconds) {
            net.cores.getValue(joining.host).entries(EntryKind.SECTION).size == 700
        }
        assertTrue(took <= 10.seconds, "took $took")
    }

    @Test
    fun `a host with half of 12000 targets gets the others in bounded messages`() {
        val net = FakeNetwork(11, 2, 4)
        val targets = List(12_000) { Entry(EntryKey(EntryKind.TARGET, "engine-$it"), 1) }
        net.cores.values.forEach { it.preload(targets.toImmutableList(), net.now) }
        val joining = net.peers.last()
        net.start(joining)
        net.cores.getValue(joining.host).preload(targets.take(6_000).toImmutableList(), net.now)
        val took = net.runUntil(60.seconds) { net.converged() }
        assertTrue(took <= 20.seconds, "took $took")
        assertTrue(net.largestMessage <= 150_000, "${net.largestMessage}")
    }

    @Test
    fun `a host never exceeds its byte rate`() {
        val limit = 2_000
        val net = FakeNetwork(7, 3, 4) { it.copy(bytesPerSecond = limit, burstBytes = 10_000) }
        repeat(60) { second ->
            repeat(20) { net.put(net.peers[it % 3].host, section("s$it", second + 1L, 1_000)) }
            net.run(1.seconds)
        }
        val most = net.cores.values.maxOf { it.stats().sentBytes }
        val slack = 10_000 + 65_536
        assertTrue(most <= 60 * limit + slack, "sent $most")
        assertTrue(net.cores.values.any { it.stats().deferredRounds > 0 })
    }

    @Test
    fun `load stays in its failure domain and expires when its origin stops publishing`() {
        val net = FakeNetwork(8, 2, 4)
        val load = Entry(EntryKey(EntryKind.LOAD, "d0-h0"), 1, EntryBytes.of("busy"))
        net.put(net.peers[0].host, load)
        net.run(3.seconds)
        val holders = net.peers.filter { net.cores.getValue(it.host).entry(load.key) != null }
        assertEquals(net.peers.filter { it.domain.value == "d0" }, holders)
        net.run(1.minutes)
        assertTrue(net.cores.values.all { it.entries(EntryKind.LOAD).isEmpty() })
    }

    @Test
    fun `a rumour is dropped once its receivers have it`() {
        val net = FakeNetwork(9, 2, 5)
        net.put(net.peers[0].host, section("s", 1))
        net.run(10.seconds)
        assertTrue(net.cores.values.all { it.stats().activeRumours == 0 })
        assertNotNull(net.cores.values.last().entry(EntryKey(EntryKind.SECTION, "s")))
    }

    @Test
    fun `an entry requested from one peer is not requested from another at the same time`() {
        val core = RealGossipCore(settings())
        val request = ExchangeRequest(
            HostId("a"),
            announced = persistentListOf(section("s", 1).digest),
        )
        assertEquals(1, core.onExchange(request, now).reply.wanted.size)
        val second = core.onExchange(request.copy(sender = HostId("b")), now + 100.milliseconds)
        assertTrue(second.reply.wanted.isEmpty())
        val later = core.onExchange(request.copy(sender = HostId("b")), now + 1.seconds)
        assertEquals(1, later.reply.wanted.size)
    }

    @Test
    fun `hosts with equal entries exchange only three root hashes`() {
        val net = FakeNetwork(10, 1, 2)
        net.peers.forEach { net.put(it.host, section("s", 1)) }
        net.run(10.seconds)
        val before = net.cores.values.sumOf { it.stats().sentBytes }
        net.run(10.seconds)
        val exchanges = 2 * (10.seconds / settings().antiEntropyPeriod)
        val perExchange = (net.cores.values.sumOf { it.stats().sentBytes } - before) / exchanges
        assertTrue(perExchange in 1.0..400.0, "$perExchange bytes")
        assertFalse(net.cores.values.any { it.entries(EntryKind.SECTION).isEmpty() })
        assertNull(net.cores.values.first().entry(EntryKey(EntryKind.HOST, "s")))
    }

    private fun settings() = GossipSettings(FakeNetwork(1, 1, 1).peers.first(), seed = 1)

    private fun GossipCore.has(name: String, version: Long): Boolean =
        entry(EntryKey(EntryKind.SECTION, name))?.version == version
}
