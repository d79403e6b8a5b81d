/** Tests of membership: each failure by name, and random schedules. */
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
        hosts.forEach { tell(it, cores.getValue(it).start(1_000, now)) }
    }

    /** Brings what [from] publishes, and what that causes, to the hosts that it [reaches]. */
    private fun tell(
        from: HostId,
        effects: List<MembershipEffect>,
        reaches: (HostId, HostId) -> Boolean = { _, _ -> true },
    ) {
        for (effect in effects.filterIsInstance<MembershipEffect.Publish>()) {
            for (to in hosts.filter { it != from && reaches(from, it) }) {
                tell(to, cores.getValue(to).onMember(effect.member, now), reaches)
            }
        }
    }

    @Test
    fun `leaving beats live for the same incarnation whatever arrives later`() {
        startAll()
        val live = core(1).snapshot.get().members.getValue(hosts[0])
        tell(hosts[0], core(0).leave(now))
        core(1).onMember(live, now)
        core(1).onResponse(hosts[0], now)
        assertEquals(MemberState.LEAVING, state(1, 0))
    }

    @Test
    fun `a new process beats everything said about the old one`() {
        startAll()
        tell(hosts[0], core(0).leave(now))
        tell(hosts[0], core(0).end(now))
        assertEquals(MemberState.DEAD, state(5, 0))
        cores[hosts[0]] = create(hosts[0])
        tell(hosts[0], core(0).start(2_000, now))
        assertEquals(MemberState.LIVE, state(5, 0))
    }

    @Test
    fun `a process whose clock went back outlives the records of its predecessor`() {
        startAll()
        val old = core(1).snapshot.get().members.getValue(hosts[0])
        val dead = old.copy(presence = old.presence.copy(suspicion = Suspicion.DEAD))
        hosts.drop(1).forEach { cores.getValue(it).onMember(dead, now) }
        cores[hosts[0]] = create(hosts[0])
        tell(hosts[0], core(0).start(500, now))
        tell(hosts[0], core(0).onMember(dead, now))
        assertEquals(MemberState.LIVE, state(5, 0))
    }

    @Test
    fun `a suspect that still runs refutes and a gone one is dead after the period`() {
        startAll()
        repeat(2) { tell(hosts[1], core(1).onRefused(hosts[0], now)) }
        assertEquals(MemberState.LIVE, state(1, 0))
        val silent = { _: HostId, to: HostId -> to != hosts[0] }
        repeat(2) { tell(hosts[2], core(2).onRefused(hosts[0], now), silent) }
        assertEquals(MemberState.SUSPECT, state(6, 0))
        now += 6.seconds
        tell(hosts[3], core(3).tick(now), silent)
        assertEquals(MemberState.DEAD, state(6, 0))
    }

    @Test
    fun `a failure domain that is cut off is not declared dead by the others`() {
        startAll()
        val inside = { a: HostId, b: HostId -> domainOf(a) == domainOf(b) }
        repeat(30) {
            now += 1.seconds
            for (a in hosts) {
                for (b in hosts.filterNot { inside(a, it) }) {
                    tell(a, cores.getValue(a).onTimeout(b, now), inside)
                    tell(a, cores.getValue(a).onRefused(b, now), inside)
                }
            }
            hosts.forEach { tell(it, cores.getValue(it).tick(now), inside) }
        }
        assertEquals(MemberState.LIVE, state(0, 7))
        val usable = core(0).snapshot.get().usable().map { it.host }
        assertEquals(hosts.take(4).toSet(), usable.toSet())
        hosts.drop(4).forEach { core(0).onResponse(it, now) }
        assertEquals(hosts.toSet(), core(0).snapshot.get().usable().map { it.host }.toSet())
    }

    @Test
    fun `a paused host that was declared dead takes part again after it wakes`() {
        startAll()
        val asleep = { _: HostId, to: HostId -> to != hosts[0] }
        repeat(4) { tell(hosts[1], core(1).onTimeout(hosts[0], now), asleep) }
        now += 6.seconds
        val dead = core(1).tick(now)
        tell(hosts[1], dead, asleep)
        assertEquals(MemberState.DEAD, state(2, 0))
        val heard = (dead.single() as MembershipEffect.Publish).member
        tell(hosts[0], core(0).onMember(heard, now))
        assertEquals(MemberState.LIVE, state(2, 0))
    }

    @Test
    fun `the platform's lagging list marks leaving once and never revives`() {
        startAll()
        val leaving = persistentListOf(PlatformReport(hosts[0], PlatformState.LEAVING))
        val live = persistentListOf(PlatformReport(hosts[0], PlatformState.LIVE))
        tell(hosts[1], core(1).onPlatformList(leaving, now))
        assertEquals(MemberState.LEAVING, state(2, 0))
        core(1).onPlatformList(live, now)
        assertEquals(MemberState.LEAVING, state(1, 0))
        cores[hosts[0]] = create(hosts[0])
        tell(hosts[0], core(0).start(2_000, now))
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
    fun `views never go back and agree once all is told, over random schedules`() {
        for (seed in 1..50) {
            val random = Random(seed)
            val told = ArrayList<Member>()
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
                        if (told.isEmpty()) emptyList() else core.onMember(told.random(random), now)
                }
                told += effects.filterIsInstance<MembershipEffect.Publish>().map { it.member }
                checkRises(core, highest.getOrPut(at) { HashMap() }, seed)
            }
            repeat(3) { tellAll(told) }
            val views = cores.values.map {
                it.snapshot.get().members.mapValues { m -> m.value.presence }
            }
            assertEquals(1, views.distinct().size, "seed $seed")
        }
    }

    private fun tellAll(told: MutableList<Member>) {
        for (member in told.toList()) {
            for (core in cores.values) {
                val effects = core.onMember(member, now)
                told += effects.filterIsInstance<MembershipEffect.Publish>().map { it.member }
            }
        }
    }

    private fun checkRises(core: Membership, seen: HashMap<HostId, Presence>, seed: Int) {
        for ((host, member) in core.snapshot.get().members) {
            val before = seen.put(host, member.presence)
            assertTrue(before == null || before <= member.presence, "seed $seed: $host")
        }
    }
}
