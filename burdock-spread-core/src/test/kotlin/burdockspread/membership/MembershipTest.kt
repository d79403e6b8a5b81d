/** Tests of the membership: one failure scenario each, and random schedules. */
package burdockspread.membership

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class MembershipTest {
    private var now = Instant.fromEpochSeconds(1_000_000)
    private val hosts = List(8) { HostId("d${it / 4}-h$it") }
    private val cores = hosts.associateWith { create(it) }.toMutableMap()

    private fun create(host: HostId): Membership = Membership.factory.create(
        MembershipSettings(host, domainOf(host), "r", "127.0.0.1:1"),
    )

    private fun domainOf(host: HostId) = FailureDomainId(host.value.substringBefore("-"))

    private fun core(i: Int) = cores.getValue(hosts[i])

    private fun state(at: Int, of: Int) = core(at).snapshot.get().state(hosts[of])

    private fun startAll() {
        hosts.forEach { deliver(it, cores.getValue(it).start(1_000, now)) }
    }

    /** Delivers what [from] publishes, and what follows from it, to the hosts that it [reaches]. */
    private fun deliver(
        from: HostId,
        effects: List<MembershipEffect>,
        reaches: (HostId, HostId) -> Boolean = { _, _ -> true },
    ) {
        for (effect in effects.filterIsInstance<MembershipEffect.Publish>()) {
            for (to in hosts.filter { it != from && reaches(from, it) }) {
                deliver(to, cores.getValue(to).onMember(effect.member, now), reaches)
            }
        }
    }

    @Test
    fun `leaving overrides live for the same incarnation whatever arrives later`() {
        startAll()
        val live = core(1).snapshot.get().members.getValue(hosts[0])
        deliver(hosts[0], core(0).leave(now))
        core(1).onMember(live, now)
        core(1).onResponse(hosts[0], now)
        assertEquals(MemberState.LEAVING, state(1, 0))
    }

    @Test
    fun `a new incarnation overrides all reports about the old one`() {
        startAll()
        deliver(hosts[0], core(0).leave(now))
        deliver(hosts[0], core(0).end(now))
        assertEquals(MemberState.DEAD, state(5, 0))
        cores[hosts[0]] = create(hosts[0])
        deliver(hosts[0], core(0).start(2_000, now))
        assertEquals(MemberState.LIVE, state(5, 0))
    }

    @Test
    fun `a process with a clock set back overrides the records of its predecessor`() {
        startAll()
        val old = core(1).snapshot.get().members.getValue(hosts[0])
        val dead = old.copy(presence = old.presence.copy(suspicion = Suspicion.DEAD))
        hosts.drop(1).forEach { cores.getValue(it).onMember(dead, now) }
        cores[hosts[0]] = create(hosts[0])
        deliver(hosts[0], core(0).start(500, now))
        deliver(hosts[0], core(0).onMember(dead, now))
        assertEquals(MemberState.LIVE, state(5, 0))
    }

    @Test
    fun `a running suspect refutes and a dead one is declared dead after the timeout`() {
        startAll()
        repeat(2) { deliver(hosts[1], core(1).onRefused(hosts[0], now)) }
        assertEquals(MemberState.LIVE, state(1, 0))
        val skipSubject = { _: HostId, to: HostId -> to != hosts[0] }
        repeat(2) { deliver(hosts[2], core(2).onRefused(hosts[0], now), skipSubject) }
        assertEquals(MemberState.SUSPECT, state(6, 0))
        now += 6.seconds
        deliver(hosts[3], core(3).tick(now), skipSubject)
        assertEquals(MemberState.DEAD, state(6, 0))
    }

    @Test
    fun `a partitioned failure domain is not declared dead by the others`() {
        startAll()
        val inside = { a: HostId, b: HostId -> domainOf(a) == domainOf(b) }
        repeat(30) {
            now += 1.seconds
            for (a in hosts) {
                for (b in hosts.filterNot { inside(a, it) }) {
                    deliver(a, cores.getValue(a).onTimeout(b, now), inside)
                    deliver(a, cores.getValue(a).onRefused(b, now), inside)
                }
            }
            hosts.forEach { deliver(it, cores.getValue(it).tick(now), inside) }
        }
        assertEquals(MemberState.LIVE, state(0, 7))
        val usable = core(0).snapshot.get().usable().map { it.host }
        assertEquals(hosts.take(4).toSet(), usable.toSet())
        hosts.drop(4).forEach { core(0).onResponse(it, now) }
        assertEquals(hosts.toSet(), core(0).snapshot.get().usable().map { it.host }.toSet())
    }

    @Test
    fun `a paused host that was declared dead rejoins after it resumes`() {
        startAll()
        val paused = { _: HostId, to: HostId -> to != hosts[0] }
        repeat(4) { deliver(hosts[1], core(1).onTimeout(hosts[0], now), paused) }
        now += 6.seconds
        val dead = core(1).tick(now)
        deliver(hosts[1], dead, paused)
        assertEquals(MemberState.DEAD, state(2, 0))
        val received = (dead.single() as MembershipEffect.Publish).member
        deliver(hosts[0], core(0).onMember(received, now))
        assertEquals(MemberState.LIVE, state(2, 0))
    }

    @Test
    fun `a stale platform list marks a host as leaving once and never as live again`() {
        startAll()
        val leaving = persistentListOf(PlatformReport(hosts[0], PlatformState.LEAVING))
        val live = persistentListOf(PlatformReport(hosts[0], PlatformState.LIVE))
        deliver(hosts[1], core(1).onPlatformList(leaving, now))
        assertEquals(MemberState.LEAVING, state(2, 0))
        core(1).onPlatformList(live, now)
        assertEquals(MemberState.LEAVING, state(1, 0))
        cores[hosts[0]] = create(hosts[0])
        deliver(hosts[0], core(0).start(2_000, now))
        core(2).onPlatformList(leaving, now)
        core(2).onPlatformList(leaving, now)
        val listed = persistentListOf(PlatformReport(hosts[0], PlatformState.LEAVING, 1_000))
        core(3).onPlatformList(listed, now)
        assertEquals(MemberState.LIVE, state(3, 0))
        val asked = core(0).onPlatformList(
            persistentListOf(PlatformReport(hosts[0], PlatformState.LEAVING, 2_000)),
            now,
        )
        assertEquals(listOf<MembershipEffect>(MembershipEffect.DrainRequested), asked)
    }

    @Test
    fun `views never regress and converge after full delivery, over random schedules`() {
        for (seed in 1..50) {
            val random = Random(seed)
            val sent = ArrayList<Member>()
            hosts.forEach { cores[it] = create(it) }
            val highest = HashMap<HostId, HashMap<HostId, Presence>>()
            repeat(150) {
                now += 1.seconds
                val at = hosts.random(random)
                val of = hosts.random(random)
                val core = cores.getValue(at)
                val effects = when (random.nextInt(7)) {
                    0 -> core.start(random.nextLong(1_000), now)
                    1 -> core.leave(now)
                    2 -> core.onRefused(of, now)
                    3 -> core.onTimeout(of, now)
                    4 -> core.tick(now)
                    else ->
                        if (sent.isEmpty()) emptyList() else core.onMember(sent.random(random), now)
                }
                sent += effects.filterIsInstance<MembershipEffect.Publish>().map { it.member }
                assertNoRegression(core, highest.getOrPut(at) { HashMap() }, seed)
            }
            repeat(3) { deliverAll(sent) }
            val views = cores.values.map {
                it.snapshot.get().members.mapValues { m -> m.value.presence }
            }
            assertEquals(1, views.distinct().size, "seed $seed")
        }
    }

    private fun deliverAll(sent: MutableList<Member>) {
        for (member in sent.toList()) {
            for (core in cores.values) {
                val effects = core.onMember(member, now)
                sent += effects.filterIsInstance<MembershipEffect.Publish>().map { it.member }
            }
        }
    }

    private fun assertNoRegression(core: Membership, seen: HashMap<HostId, Presence>, seed: Int) {
        for ((host, member) in core.snapshot.get().members) {
            val before = seen.put(host, member.presence)
            assertTrue(before == null || before <= member.presence, "seed $seed: $host")
        }
    }
}
