/** The steps of the demonstration. */
package burdockspread.demo

import burdockspread.fakes.engine.TextModel
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Runs the steps in sequence and collects the failed checks. */
internal class Demonstration(private val fleet: Fleet, private val maxResumePause: Duration) {
    private val caller = Caller()
    private val failures = mutableListOf<String>()
    private val first = fleet.layout.entries.first()
    private val steward = StewardLayout("${first.name}-steward", first.failureDomain)

    fun run(): List<String> {
        startUp()
        streamThroughEngineKill()
        book()
        edit()
        showFleet()
        stop()
        return failures.toList()
    }

    private fun startUp() {
        val hosts = fleet.layout.entries.size
        step("start the fakes, the document, $hosts entry hosts and a steward")
        fleet.startFakes()
        fleet.teams.createAllSections()
        fleet.layout.entries.forEach { fleet.startEntry(it) }
        fleet.startSteward(steward)
        fleet.awaitReady()
        val engine = fleet.layout.engines.first { it.failureDomain == steward.failureDomain }
        fleet.await("model loaded by the steward") { state(engine).contains("burdock-llm") }
        println("  ${engine.name} serves ${state(engine)}")
    }

    private fun state(engine: EngineLayout): String =
        fleet.get("http://${engine.address}/admin/state").body()

    /** Kills the engine that serves a stream halfway through the stream. */
    private fun streamThroughEngineKill() {
        step("stream a generation and kill its engine with SIGKILL halfway")
        val spec = RequestSpec("Shift summary for Morbi:", TOKENS, "demo-stream-1")
        var lastToken: TimeSource.Monotonic.ValueTimeMark? = null
        var longestGap = Duration.ZERO
        var received = 0
        var killed = false
        val events = caller.stream(first.caller, spec) { event ->
            lastToken?.let { longestGap = maxOf(longestGap, event.receivedAt - it) }
            lastToken = event.receivedAt
            received = maxOf(received, event.tokens)
            if (received >= TOKENS / 2 && !killed) {
                killed = true
                killServingEngine()
            }
            if (received <= MAX_PRINTED_TOKENS ||
                event.text.isEmpty()
            ) {
                println("  id: ${event.id} data: ${event.data}")
            }
        }
        val text = events.joinToString("") { it.text }
        val reference = TextModel().predict(spec.prompt, TOKENS).joinToString("")
        val attempts = attempts()
        println("  tokens received: $received, longest pause: $longestGap, attempts: $attempts")
        check("the answer is complete and equal to the reference", text == reference)
        check("the stream ended with [DONE]", events.last().data == "[DONE]")
        check("output resumed within $maxResumePause", longestGap < maxResumePause)
        check("another attempt followed the kill of the engine", killed && attempts > 1)
    }

    private fun killServingEngine() {
        val busy = fleet.layout.engines.first { running(it) > 0 }
        println("  killing ${busy.name}")
        fleet.kill(busy.name)
    }

    private fun running(engine: EngineLayout): Int {
        val metrics = fleet.get("http://${engine.address}/metrics").body()
        val line = metrics.lines().first { it.contains("num_requests_running") }
        return line.substringAfterLast(' ').toInt()
    }

    private fun attempts(): Int {
        val metrics = fleet.get("http://${first.operator}/metrics").body()
        return metrics.lines()
            .filter { it.startsWith("burdock_attempts_total") }
            .sumOf { it.substringAfterLast(' ').toDouble().toInt() }
    }

    private fun book() {
        step("book one dispatch twice with one idempotency key, through two entry hosts")
        val body = """{"roll": "jumbo-7", "to": "Surat"}"""
        val answers = fleet.layout.entries.map {
            bookWithRetries(it, body)
        }
        answers.forEach { println("  ${it.status} ${it.body}") }
        val counts = fleet.get("http://${fleet.layout.desk}/counts").body()
        println("  requests at the order desk: $counts")
        check("both responses report the same booking", answers.distinct().size == 1)
        check("the desk received one request", counts.contains("\"dispatch-4711\":1"))
    }

    /** Retries while the refusal says that the first request is still being recorded. */
    private fun bookWithRetries(entry: EntryLayout, body: String): HttpReply {
        var answer = caller.call(entry.caller, "order-desk/book", body, "dispatch-4711")
        fleet.await("recorded booking") {
            answer.status != CONFLICT ||
                caller.call(entry.caller, "order-desk/book", body, "dispatch-4711")
                    .also { answer = it }
                    .status != CONFLICT
        }
        return answer
    }

    private fun edit() {
        step("edit the document and wait until the edit is in force")
        val spec = RequestSpec("Claim draft:", EDITED_MAX_TOKENS + 1, "demo-edit", stream = false)
        val result = fleet.teams.edit(fleet.document.models(EDITED_MAX_TOKENS))
        println(result.text.prependIndent("  "))
        val rollout = fleet.teams.run("models", "rollout", "models", "--wait")
        println(rollout.text.prependIndent("  "))
        check("burdockctl reports the edit in force on every host", rollout.status == 0)
        fleet.await("edit in force on every host") {
            fleet.layout.entries.all { caller.fetch(it.caller, spec).status == BAD_REQUEST }
        }
        val refusal = caller.fetch(first.caller, spec)
        println("  ${refusal.status} ${refusal.body}")
        check("a longer answer is refused by the new limit", refusal.body.contains("\"code\":110"))
    }

    private fun showFleet() {
        step("show the health of the fleet")
        val table = fleet.teams.run("platform", "fleet")
        println(table.text.prependIndent("  "))
        check("burdockctl showed the fleet", table.status == 0)
    }

    private fun stop() {
        step("stop the entry hosts and the steward with SIGTERM")
        (fleet.layout.entries.map { it.name } + steward.name).forEach {
            val status = fleet.terminate(it)
            println("  $it: exit status $status")
            check("$it exited with status 0", status == 0)
        }
    }

    private fun step(text: String) {
        println("\n== $text")
    }

    private fun check(description: String, isMet: Boolean) {
        println("  ${if (isMet) "ok" else "NOT OK"}: $description")
        if (!isMet) failures += description
    }

    private companion object {
        const val TOKENS = 300
        const val MAX_PRINTED_TOKENS = 10
        const val EDITED_MAX_TOKENS = 500
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
    }
}
