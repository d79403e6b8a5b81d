/** The steps of the demonstration. */
package burdockspread.demo

import burdockspread.fakes.engine.TextModel
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Runs the steps one after another and collects what did not hold. */
internal class Demonstration(private val fleet: Fleet, private val resumeLimit: Duration) {
    private val caller = Caller()
    private val failures = mutableListOf<String>()
    private val first = fleet.layout.entries.first()
    private val steward = StewardLayout("${first.name}-steward", first.failureDomain)

    fun run(): List<String> {
        startUp()
        streamThroughEngineDeath()
        book()
        edit()
        showFleet()
        stop()
        return failures.toList()
    }

    private fun startUp() {
        val hosts = fleet.layout.entries.size
        step("start the stand-ins, the document, $hosts entry hosts and a steward")
        fleet.startStandIns()
        fleet.teams.createAll()
        fleet.layout.entries.forEach { fleet.startEntry(it) }
        fleet.startSteward(steward)
        fleet.awaitReady()
        val engine = fleet.layout.engines.first { it.failureDomain == steward.failureDomain }
        fleet.await("model loaded by the steward") { state(engine).contains("burdock-llm") }
        println("  ${engine.name} serves ${state(engine)}")
    }

    private fun state(engine: EngineLayout): String =
        fleet.get("http://${engine.address}/admin/state").body()

    /** Kills the engine that serves a stream in its middle. */
    private fun streamThroughEngineDeath() {
        step("stream a generation and kill its engine with SIGKILL in the middle")
        val ask = Ask("Shift summary for Morbi:", TOKENS, "demo-stream-1")
        var lastToken: TimeSource.Monotonic.ValueTimeMark? = null
        var longestGap = Duration.ZERO
        var seen = 0
        var killed = false
        val events = caller.stream(first.caller, ask) { event ->
            lastToken?.let { longestGap = maxOf(longestGap, event.at - it) }
            lastToken = event.at
            seen = maxOf(seen, event.tokens)
            if (seen >= TOKENS / 2 && !killed) {
                killed = true
                killServing()
            }
            if (seen <= SHOWN ||
                event.text.isEmpty()
            ) {
                println("  id: ${event.id} data: ${event.data}")
            }
        }
        val text = events.joinToString("") { it.text }
        val reference = TextModel().predict(ask.prompt, TOKENS).joinToString("")
        val attempts = attempts()
        println("  tokens received: $seen, longest pause: $longestGap, attempts: $attempts")
        check("the answer is whole and equal to the reference", text == reference)
        check("the stream ended with [DONE]", events.last().data == "[DONE]")
        check("output went on within $resumeLimit", longestGap < resumeLimit)
        check("the engine's death was met by another attempt", killed && attempts > 1)
    }

    private fun killServing() {
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
        step("book one dispatch, twice under one key, through two entry hosts")
        val body = """{"roll": "jumbo-7", "to": "Surat"}"""
        val answers = fleet.layout.entries.map {
            bookPatiently(it, body)
        }
        answers.forEach { println("  ${it.status} ${it.body}") }
        val counts = fleet.get("http://${fleet.layout.desk}/counts").body()
        println("  sends at the order desk: $counts")
        check("one booking, answered twice", answers.distinct().size == 1)
        check("the desk saw one send", counts.contains("\"dispatch-4711\":1"))
    }

    /** Asks again while the first send is still being recorded, as its refusal says. */
    private fun bookPatiently(entry: EntryLayout, body: String): PlainAnswer {
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
        step("edit the document and see the edit in force")
        val ask = Ask("Claim draft:", EDITED_MAX_TOKENS + 1, "demo-edit", stream = false)
        val result = fleet.teams.edit(fleet.document.models(EDITED_MAX_TOKENS))
        println(result.text.prependIndent("  "))
        val rollout = fleet.teams.run("models", "rollout", "models", "--wait")
        println(rollout.text.prependIndent("  "))
        check("burdockctl saw the edit in force on every host", rollout.status == 0)
        fleet.await("edit in force on every host") {
            fleet.layout.entries.all { caller.whole(it.caller, ask).status == BAD_REQUEST }
        }
        val refusal = caller.whole(first.caller, ask)
        println("  ${refusal.status} ${refusal.body}")
        check("the new limit refuses a longer answer", refusal.body.contains("\"code\":110"))
    }

    private fun showFleet() {
        step("show the health of the fleet")
        val table = fleet.teams.run("platform", "fleet")
        println(table.text.prependIndent("  "))
        check("burdockctl showed the fleet", table.status == 0)
    }

    private fun stop() {
        step("stop the entry hosts and the steward by SIGTERM")
        (fleet.layout.entries.map { it.name } + steward.name).forEach {
            val status = fleet.terminate(it)
            println("  $it: exit status $status")
            check("$it ended with 0", status == 0)
        }
    }

    private fun step(text: String) {
        println("\n== $text")
    }

    private fun check(what: String, holds: Boolean) {
        println("  ${if (holds) "ok" else "NOT OK"}: $what")
        if (!holds) failures += what
    }

    private companion object {
        const val TOKENS = 300
        const val SHOWN = 10
        const val EDITED_MAX_TOKENS = 500
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
    }
}
