/** A model runner that batches continuously, in virtual time. */
package burdockspread.bench.load

import burdockspread.bench.routing.Simulation

/** Figures of a runner, from the users' sheet. */
internal data class RunnerShape(
    val slots: Int = 12,
    val memoryTokens: Int = 55_000,
    /** Seconds of a step in which each running request gets one token. */
    val stepSeconds: Double = 0.00423,
    val promptTokensPerSecond: Double = 5_000.0,
    /** Prompt tokens that are read in one step, between the tokens of the other requests. */
    val chunkTokens: Int = 125,
    /** Tokens in one event of a stream. */
    val tokensPerEvent: Int = 7,
)

/** Hears of one run. */
internal interface RunListener {
    fun onEvent(tokens: Int)

    fun onDone()

    /** The runner is gone; [read] prompt tokens had been read. */
    fun onBroken(read: Int)
}

/** One run; a resume from a copy begins with nothing [unread]. */
internal class Run(val prompt: Int, var unread: Int, var left: Int, val listener: RunListener) {
    var tokens = 0
    val read: Int get() = prompt - unread
}

/** Reads one prompt at a time, in chunks between steps; the least recent run is read first. */
internal class Runner(private val simulation: Simulation, private val shape: RunnerShape) {
    private val running = ArrayList<Run>()
    private val waiting = ArrayDeque<Run>()
    private var stepping = false
    private var alive = true

    /** Requests here, the waiting ones included. */
    val load: Int get() = running.size + waiting.size

    fun submit(run: Run) {
        if (!alive) {
            simulation.after(REFUSAL_SECONDS) { run.listener.onBroken(0) }
            return
        }
        waiting.addLast(run)
        step()
    }

    /** Breaks all runs and refuses new ones. */
    fun crash() {
        alive = false
        val lost = running + waiting
        running.clear()
        waiting.clear()
        lost.forEach { it.listener.onBroken(it.read) }
    }

    private fun step() {
        if (stepping || !alive) return
        admit()
        if (running.isEmpty()) return
        stepping = true
        val reader = running.firstOrNull { it.unread > 0 }
        val chunk = minOf(reader?.unread ?: 0, shape.chunkTokens)
        val decoding = running.filter { it.unread == 0 }
        val seconds = shape.stepSeconds + chunk / shape.promptTokensPerSecond
        simulation.after(seconds) {
            stepping = false
            if (alive) {
                reader?.let { it.unread -= chunk }
                decoding.forEach(::decode)
                step()
            }
        }
    }

    private fun admit() {
        while (running.size < shape.slots) {
            val next = waiting.firstOrNull() ?: return
            val held = running.sumOf { it.prompt + it.left + it.tokens }
            if (held + next.prompt + next.left > shape.memoryTokens) return
            running += waiting.removeFirst()
        }
    }

    private fun decode(run: Run) {
        run.tokens++
        run.left--
        val done = run.left <= 0
        if (done || run.tokens % shape.tokensPerEvent == 0) run.listener.onEvent(run.tokens)
        if (!done) return
        running -= run
        run.listener.onDone()
    }

    private companion object {
        /** Time until a connection to a host without a listener is refused. */
        const val REFUSAL_SECONDS = 0.005
    }
}
