package burdockspread.forward.host

import burdockspread.forward.relay.UpdateTiming
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Large configurations on their way over the links of hosts, in virtual time. */
class SlowLinksTest {
    private val random = Random(63)
    private var routes = routes(0, 4_000)
    private var version = 1

    // Guards against hosts that ran requests by a configuration replaced seconds before: a relay on
    // a slow link drew the new one from the store while its followers drew it from the relay.
    @ParameterizedTest
    @ValueSource(ints = [2, 3, 6, 12])
    fun `a growing configuration is in force in time behind slow links`(perDomain: Int) = runTest {
        val fleet = fleet(perDomain)
        delay(6.seconds)
        repeat(2) {
            routes = routes + routes(routes.size, GROWTH)
            assertInForce(fleet)
        }
        repeat(4) { edit ->
            routes =
                routes.toMutableList().apply { set(random.nextInt(size), route("edited-$edit")) }
            assertInForce(fleet)
        }
    }

    // Guards against relays that followers leave while a large configuration is on its way.
    @Test
    fun `a large configuration makes no host watch the store in place of its relay`() = runTest {
        val fleet = fleet(perDomain = 12)
        delay(6.seconds)
        val watching = fleet.hosts.filter { it.isWatching }.map { it.name }
        routes = routes + routes(routes.size, GROWTH)
        edit(fleet)
        repeat(60) {
            delay(APPLY_LIMIT / 20)
            assertEquals(watching, fleet.hosts.filter { it.isWatching }.map { it.name })
        }
    }

    // Guards against followers that wait for a relay that was killed while it sent to them.
    @ParameterizedTest
    @ValueSource(ints = [50, 200, 400, 600])
    fun `a relay that is killed halfway delays no configuration`(millis: Int) = runTest {
        val fleet = fleet(perDomain = 12)
        delay(6.seconds)
        val relay = fleet.hosts.first { it.isWatching && it.domain != "domain-0" }
        routes = routes + routes(routes.size, GROWTH)
        edit(fleet)
        delay(millis.milliseconds)
        relay.kill()
        awaitInForce(fleet, millis.milliseconds)
    }

    // Guards against hosts that are ready by a cached list, seconds old, while a newer one arrives.
    @ParameterizedTest
    @ValueSource(ints = [2_400, 3_000, 4_000])
    @Tag("known-red")
    fun `hosts that start together serve by no configuration that was replaced`(millis: Int) =
        runTest {
            val fleet = fleet(perDomain = 12)
            delay(6.seconds)
            routes = routes + routes(routes.size, GROWTH)
            edit(fleet)
            delay(millis.milliseconds)
            val started = fleet.hosts.filter { it.domain == "domain-1" }
            started.forEach { it.restart() }
            repeat(300) {
                delay(STEP)
                if (millis.milliseconds + STEP * (it + 1) <= APPLY_LIMIT) return@repeat
                val replaced = started.map { host -> host.updater.view }
                    .filter { view -> view.serving }
                    .mapNotNull { view -> view.catalog?.version }
                    .filter { served -> served != version.toLong() }
                assertEquals(emptyList(), replaced)
            }
        }

    private fun TestScope.fleet(perDomain: Int): FleetSimulation {
        val fleet = FleetSimulation(this, domains = 4, perDomain, UpdateTiming(APPLY_LIMIT))
        fleet.hosts.forEach { host ->
            // One domain has fast links.
            val megabits = if (host.domain == "domain-0") FAST_MEGABITS else SLOW_MEGABITS
            host.rate.bytesPerMilli = megabits * BYTES_PER_MILLI_PER_MEGABIT
        }
        fleet.store.put("targets", "t", "t")
        edit(fleet)
        fleet.start()
        return fleet
    }

    private fun edit(fleet: FleetSimulation) {
        val text = "${++version} {\"routes\":[${routes.joinToString(",")}],\"limits\":{}}"
        fleet.store.put("settings", "newest", text)
    }

    private suspend fun assertInForce(fleet: FleetSimulation) {
        edit(fleet)
        delay(5.seconds - awaitInForce(fleet))
    }

    /** Waits for the latest version, [since] after it was written; returns its age then. */
    private suspend fun awaitInForce(
        fleet: FleetSimulation,
        since: Duration = Duration.ZERO,
    ): Duration {
        var elapsed = since
        while (true) {
            val late = fleet.hosts
                .filter { it.isUp && it.updater.view.catalog?.version != version.toLong() }
            if (late.isEmpty()) return elapsed
            assertTrue(elapsed < APPLY_LIMIT, "version $version is late at ${late.map { it.name }}")
            delay(STEP)
            elapsed += STEP
        }
    }

    private fun routes(first: Int, count: Int) = List(count) { route("added-${first + it}") }

    private fun route(name: String) =
        """{"name":"$name-${word()}","host":"${word()}.example","path_starts":"/${word()}/",""" +
            """"kind":"streaming","timeout_ms":25000,"target_latency_ms":4500,"priority":1,""" +
            """"service":"${word()}","max_attempts":5,"anonymous":false,"resume_allow":true}"""

    private fun word() = List(8) {
        random.nextInt('a'.code, 'z'.code + 1).toChar()
    }.joinToString("")

    private companion object {
        /** Routes of the largest growth of the known deployments. */
        const val GROWTH = 1_580
        const val SLOW_MEGABITS = 7.0
        const val FAST_MEGABITS = 140.0
        const val BYTES_PER_MILLI_PER_MEGABIT = 125.0
        val APPLY_LIMIT = 3.seconds
        val STEP = APPLY_LIMIT / 300
    }
}
