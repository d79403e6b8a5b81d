/** Simulates random host failures, pauses, partitions, late messages and reconnects. */
package burdockspread.bench.generation

import kotlin.random.Random

/** Outcomes of the callers over many schedules. */
internal class ReconnectStats(val callers: List<SimCaller>, val stuck: Int) {
    val mixed: Int get() = callers.count { it.mixed }
    val resumed: Int get() = callers.count { it.isComplete && it.resumes > 0 && !it.mixed }
    val restarted: Int get() = callers.count { it.isComplete && it.restarts > 0 && !it.mixed }
    val refused: Int get() = callers.count { it.refusal != null }
}

/** Random schedules with three callers each, two of which share a request. */
internal object ReconnectSchedules {
    private const val SCHEDULES = 1_500
    private const val CALLERS = 3
    private const val STEPS = 150
    private const val STEPS_PER_FAULT = 12
    private const val STEPS_PER_DISCONNECT = 25
    private const val MAX_ROUNDS = 400
    private const val STEPS_PER_ROUND = 20
    private const val ROUNDS_PER_RECONNECT = 20

    fun run(omitted: OmittedRule = OmittedRule.NONE, schedules: Int = SCHEDULES): ReconnectStats {
        val callers = (0 until schedules).flatMap { seed ->
            run(SimCluster(Random(seed), omitted))
        }
        return ReconnectStats(callers, callers.count { !it.isEnded })
    }

    private fun run(cluster: SimCluster): List<SimCaller> {
        val callers = List(CALLERS) { n ->
            SimCaller(
                cluster = cluster,
                request = SimCluster.request(n / 2),
                streaming = n != 1,
                acceptsRestart = n != 2,
            )
        }
        repeat(STEPS) {
            cluster.step()
            if (cluster.random.nextInt(STEPS_PER_FAULT) == 0) cluster.injectFault()
            callers.filter { !it.isEnded }.forEach { stepCaller(it, cluster) }
        }
        cluster.heal()
        repeat(MAX_ROUNDS) { round -> finish(callers.filter { !it.isEnded }, cluster, round) }
        return callers
    }

    private fun stepCaller(caller: SimCaller, cluster: SimCluster) {
        when {
            !caller.isAttached -> caller.reconnect(cluster.hosts.random(cluster.random))
            cluster.random.nextInt(STEPS_PER_DISCONNECT) == 0 -> caller.disconnect()
            else -> caller.read()
        }
    }

    /** Lets callers finish; a caller whose connection stalls reconnects every few rounds. */
    private fun finish(open: List<SimCaller>, cluster: SimCluster, round: Int) {
        if (open.isEmpty()) return
        repeat(STEPS_PER_ROUND) { cluster.step() }
        open.forEach {
            it.read()
            if (!it.isEnded && round % ROUNDS_PER_RECONNECT == 0) it.disconnect()
            if (!it.isEnded && !it.isAttached) it.reconnect(cluster.hosts.random(cluster.random))
        }
    }

    fun print() {
        println("Returning callers: $SCHEDULES random schedules, $CALLERS callers each")
        println("rule left out     mixed  resumed  restarted  refused  without an end")
        OmittedRule.entries.forEach { row(it, run(it)) }
        println()
    }

    private fun row(omitted: OmittedRule, stats: ReconnectStats) = println(
        "%-16s %6d %8d %10d %8d %15d".format(
            omitted.name.lowercase().replace('_', ' '),
            stats.mixed,
            stats.resumed,
            stats.restarted,
            stats.refused,
            stats.stuck,
        ),
    )
}
