package burdockspread.demo

import burdockspread.fakes.engine.TextModel
import org.junit.jupiter.api.AfterEach
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/** Runs real processes on loopback and injects failures with signals. */
class FleetTest {
    private val root = Path.of(System.getProperty("burdock.root"))
    private val layout = FleetLayout.of("morbi-a", "rajkot-b", "vapi-c")
    private val fleet = Fleet(root, Files.createTempDirectory("burdock-e2e"), layout)
    private val caller = Caller()
    private val prompt = "Claim draft for pulp lot 12:"

    @AfterEach
    fun stop() = fleet.close()

    private fun startAll() {
        fleet.startFakes()
        fleet.teams.createAllSections()
        layout.entries.forEach { fleet.startEntry(it) }
        fleet.awaitReady()
    }

    private fun reference(count: Int): String = TextModel().predict(prompt, count).joinToString("")

    private fun text(events: List<ReceivedEvent>): String = events.joinToString("") { it.text }

    private fun servingEngine(): EngineLayout = layout.engines.first {
        fleet.get("http://${it.address}/metrics").body().contains("running 1")
    }

    @Test
    fun `all checks of the demonstration pass`() {
        val small = Fleet(root, Files.createTempDirectory("demo"), FleetLayout.of("morbi-a", "b"))
        small.use { assertEquals(emptyList(), Demonstration(it, Duration.INFINITE).run()) }
    }

    @Test
    fun `a stream resumes through another entry host after its own was killed`() {
        startAll()
        val (first, second) = layout.entries
        val spec = RequestSpec(prompt, 250, "killed-entry")
        val before = caller.stream(first.caller, spec) {
            if (it.tokens >= 60) fleet.kill(first.name)
        }
        val received = text(before)
        assertTrue(received.length < reference(250).length, "the entry host was killed mid-stream")
        val last = before.last { it.id != null }.id
        val after = caller.stream(second.caller, spec.copy(lastEventId = last))
        assertEquals("[DONE]", after.last().data)
        val restarted = after.any { it.event == "restart" }
        assertEquals(reference(250), if (restarted) text(after) else received + text(after))
    }

    @Test
    fun `a paused entry host that continues is superseded and sends no divergent tokens`() {
        startAll()
        val (first, second) = layout.entries
        val spec = RequestSpec(prompt, 200, "paused-entry")
        var last: String? = null
        val received = StringBuilder()
        val paused = CompletableFuture<Unit>()
        val old = CompletableFuture.supplyAsync {
            caller.stream(first.caller, spec) {
                if (!paused.isDone) {
                    received.append(it.text)
                    last = it.id ?: last
                }
                if (it.tokens >= 60 && !paused.isDone) {
                    fleet.signal(first.name, "STOP")
                    paused.complete(Unit)
                }
            }
        }
        paused.join()
        val after = caller.stream(second.caller, spec.copy(lastEventId = last))
        fleet.signal(first.name, "CONT")
        val restarted = after.any { it.event == "restart" }
        assertEquals(reference(200), if (restarted) text(after) else "$received${text(after)}")
        val oldText = text(old.join())
        assertTrue(reference(200).startsWith(oldText), "the continued host sent divergent tokens")
    }

    @Test
    fun `a frozen engine is replaced and its late tokens are dropped`() {
        startAll()
        val entry = layout.entries.first()
        var frozen: EngineLayout? = null
        val events = caller.stream(entry.caller, RequestSpec(prompt, 250, "frozen")) {
            if (it.tokens >= 30 && frozen == null) {
                frozen = servingEngine().also { engine -> fleet.signal(engine.name, "STOP") }
            }
        }
        frozen?.let { fleet.signal(it.name, "CONT") }
        assertEquals(reference(250), text(events))
        assertContains(fleet.log(entry.name), "STALLED")
    }

    @Test
    fun `a graceful shutdown interrupts no request`() {
        startAll()
        val entry = layout.entries.first()
        val exit = CompletableFuture<Int>()
        var stopRequested = false
        val events = caller.stream(entry.caller, RequestSpec(prompt, 100, "drain")) {
            if (it.tokens >= 20 && !stopRequested) {
                stopRequested = true
                CompletableFuture.runAsync { exit.complete(fleet.terminate(entry.name)) }
            }
        }
        assertEquals(reference(100), text(events))
        assertEquals(0, exit.join())
    }

    @Test
    fun `a second steward takes over placement after the first was killed`() {
        fleet.startFakes()
        fleet.teams.createAllSections()
        val stewards = listOf("s-1", "s-2").map { StewardLayout(it, "morbi-a") }
        stewards.forEach { fleet.startSteward(it) }
        val engine = layout.engines.first().address
        fun loaded(version: String): Boolean =
            fleet.get("http://$engine/admin/state").body().contains("\"burdock-llm\":\"$version\"")
        fleet.await("version 1 loaded") { loaded("1") }
        val holder = stewards.first { fleet.log(it.name).contains("acquired lease of placement") }
        fleet.kill(holder.name)
        fleet.teams.edit(fleet.document.models(version = "2", floor = 0))
        fleet.await("version 2 loaded") { loaded("2") }
        assertEquals(0, fleet.terminate(stewards.first { it != holder }.name))
    }

    @Test
    fun `during a store outage generations continue and bookings are refused as not run`() {
        startAll()
        val entry = layout.entries.first()
        caller.call(entry.caller, "order-desk/book", "{}", "before-outage")
        fleet.post("http://${layout.store}/fault/call_lost")
        val refused = caller.call(entry.caller, "order-desk/book", "{}", "in-outage")
        val code = Regex("\"code\":(\\d+)").find(refused.body)?.groupValues?.get(1)
        assertContains(listOf("401", "407"), code, refused.body)
        val answer = caller.fetch(entry.caller, RequestSpec(prompt, 30, "outage", stream = false))
        assertEquals(200, answer.status)
        fleet.post("http://${layout.store}/fault/none")
        val counts = fleet.get("http://${layout.desk}/counts").body()
        assertTrue("in-outage" !in counts, "a refused booking was sent: $counts")
    }

    @Test
    fun `malformed requests get their error codes and do not affect other requests`() {
        startAll()
        val address = layout.entries.first().caller
        val path = "/v1/completions"
        val big = """{"model": "burdock-llm", "prompt": "${"x".repeat(70_000)}"}"""
        val cases = mapOf(
            caller.sendRaw(address, path, "{", SKARJEVEC_KEY) to "101",
            caller.sendRaw(address, path, """{"model":"m","prompt":"p"}""", "wrong") to "102",
            caller.sendRaw(address, path, """{"model":"m","prompt":"p"}""", SKARJEVEC_KEY) to "103",
            caller.sendRaw(address, "/v1/services/a/b", "{}", SKARJEVEC_KEY) to "104",
            caller.sendRaw(address, path, big, SKARJEVEC_KEY) to "105",
            caller.sendRaw(address, "/v1/services/order-desk/book", "{}", SKARJEVEC_KEY) to "107",
            caller.sendRaw(address, "/v2", "{}", SKARJEVEC_KEY) to "109",
        )
        cases.forEach { (answer, code) -> assertContains(answer.body, "\"code\":$code") }
        PartialRequest(Ports.portOf(address)).use { connection ->
            assertContains(connection.sendPartialBody(), "\"code\":106")
        }
        PartialRequest(Ports.portOf(address)).use { connection ->
            assertEquals("", connection.sendPartialHead())
        }
        assertEquals(
            200,
            caller.fetch(address, RequestSpec(prompt, 3, "fine", stream = false)).status,
        )
    }
}
