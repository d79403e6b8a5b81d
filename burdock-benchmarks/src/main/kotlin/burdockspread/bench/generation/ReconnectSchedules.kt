/** Plays random schedules of deaths, pauses, cuts, late messages and returning callers. */
package burdockspread.bench.generation

import kotlin.random.Random

/** Counts over the callers of many schedules. */
internal class ReturnFigures(val callers: List<SimCaller>, val unended: Int) {
    val mixed: Int get() = callers.count { it.mixed }
    val resumed: Int get() = callers.count { it.whole && it.resumes > 0 && !it.mixed }
    val restarted: Int get() = callers.count { it.whole && it.restarts > 0 && !it.mixed }
    val refused: Int get() = callers.count { it.refusal != null }
}

/** Each schedule has three callers, two of them with the same request. */
internal object ReconnectSchedules {
    private const val SCHEDULES = 1_500
    private const val CALLERS = 3
    private const val STEPS = 150
    private const val STEPS_FOR_FAULT = 12
    private const val STEPS_FOR_LOSS = 25
    private const val MAX_ROUNDS = 400
    private const val STEPS_IN_ROUND = 20
    private const val ROUNDS_OF_PATIENCE = 20

    fun play(weakening: Weakening = Weakening.NONE, schedules: Int = SCHEDULES): ReturnFigures {
        val callers = (0 until schedules).flatMap { seed ->
            play(SimCluster(Random(seed), weakening))
        }
        return ReturnFigures(callers, callers.count { !it.ended })
    }

    private fun play(world: SimCluster): List<SimCaller> {
        val callers = List(CALLERS) { n ->
            SimCaller(
                world = world,
                request = SimCluster.request(n / 2),
                streaming = n != 1,
                acceptsRestart = n != 2,
            )
        }
        repeat(STEPS) {
            world.step()
            if (world.random.nextInt(STEPS_FOR_FAULT) == 0) world.fault()
            callers.filter { !it.ended }.forEach { act(it, world) }
        }
        world.heal()
        repeat(MAX_ROUNDS) { round -> settle(callers.filter { !it.ended }, world, round) }
        return callers
    }

    private fun act(caller: SimCaller, world: SimCluster) {
        when {
            !caller.attached -> caller.comeBack(world.hosts.random(world.random))
            world.random.nextInt(STEPS_FOR_LOSS) == 0 -> caller.lose()
            else -> caller.read()
        }
    }

    /** A caller whose connection is of no use any more returns after a while. */
    private fun settle(open: List<SimCaller>, world: SimCluster, round: Int) {
        if (open.isEmpty()) return
        repeat(STEPS_IN_ROUND) { world.step() }
        open.forEach {
            it.read()
            if (!it.ended && round % ROUNDS_OF_PATIENCE == 0) it.lose()
            if (!it.ended && !it.attached) it.comeBack(world.hosts.random(world.random))
        }
    }

    fun print() {
        println("Returning callers: $SCHEDULES random schedules, $CALLERS callers each")
        println("rule left out     mixed  resumed  restarted  refused  without an end")
        Weakening.entries.forEach { row(it, play(it)) }
        println()
    }

    private fun row(weakening: Weakening, figures: ReturnFigures) = println(
        "%-16s %6d %8d %10d %8d %15d".format(
            weakening.name.lowercase().replace('_', ' '),
            figures.mixed,
            figures.resumed,
            figures.restarted,
            figures.refused,
            figures.unended,
        ),
    )
}
