/** A model runner with continuous batching, in virtual time. */
package burdockspread.bench.load

import burdockspread.bench.routing.Simulation

/** Capacity and speed of a runner, from the users' specification. */
internal data class RunnerShape(
    val slots: Int = 12,
    val memoryTokens: Int = 55_000,
    /** Duration of a decode step, in which each running request gets one token. */
    val stepSeconds: Double = 0.00423,
    val promptTokensPerSecond: Double = 5_000.0,
    /** Prompt tokens prefilled in one step, interleaved with decoding of the other requests. */
    val chunkTokens: Int = 125,
    /** Tokens per stream event. */
    val tokensPerEvent: Int = 7,
)

/** Callbacks for the progress of one run. */
internal interface RunListener {
    fun onEvent(tokens: Int)

    fun onDone()

    /** Called when the runner crashed or refused, after it prefilled [prefilled] prompt tokens. */
    fun onBroken(prefilled: Int)
}

/** One run of a request; a resume from a replica starts with no [toPrefill] tokens. */
internal class Run(
    val prompt: Int,
    var toPrefill: Int,
    var remaining: Int,
    val listener: RunListener,
) {
    var tokens = 0
    val prefilled: Int get() = prompt - toPrefill
}

/** Prefills one prompt at a time, oldest run first, in chunks interleaved with decode steps. */
internal class Runner(private val simulation: Simulation, private val shape: RunnerShape) {
    private val running = ArrayList<Run>()
    private val waiting = ArrayDeque<Run>()
    private var stepping = false
    private var alive = true

    /** Running and waiting requests. */
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
        lost.forEach { it.listener.onBroken(it.prefilled) }
    }

    private fun step() {
        if (stepping || !alive) return
        admit()
        if (running.isEmpty()) return
        stepping = true
        val prefilling = running.firstOrNull { it.toPrefill > 0 }
        val chunk = minOf(prefilling?.toPrefill ?: 0, shape.chunkTokens)
        val decoding = running.filter { it.toPrefill == 0 }
        val seconds = shape.stepSeconds + chunk / shape.promptTokensPerSecond
        simulation.after(seconds) {
            stepping = false
            if (alive) {
                prefilling?.let { it.toPrefill -= chunk }
                decoding.forEach(::decode)
                step()
            }
        }
    }

    private fun admit() {
        while (running.size < shape.slots) {
            val next = waiting.firstOrNull() ?: return
            val reservedTokens = running.sumOf { it.prompt + it.remaining + it.tokens }
            if (reservedTokens + next.prompt + next.remaining > shape.memoryTokens) return
            running += waiting.removeFirst()
        }
    }

    private fun decode(run: Run) {
        run.tokens++
        run.remaining--
        val done = run.remaining <= 0
        if (done || run.tokens % shape.tokensPerEvent == 0) run.listener.onEvent(run.tokens)
        if (!done) return
        running -= run
        run.listener.onDone()
    }

    private companion object {
        /** Time until a connection without a listener is refused. */
        const val REFUSAL_SECONDS = 0.005
    }
}
