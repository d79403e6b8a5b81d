package burdockspread.journal

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Deaths, pauses, cuts, late messages and returns never mix two continuations into one answer. */
class ReturnScheduleTest {
    @Test
    fun `every caller gets one whole answer, an open restart or a refusal`() {
        val callers = (0 until SEEDS).flatMap { seed -> play(Random(seed), "seed $seed") }
        val resumed = callers.count { it.resumes > 0 && it.whole }
        val restarted = callers.count { it.restarts > 0 && it.whole }
        val refused = callers.count { it.refusal != null }
        println("${callers.size} callers: $resumed resumed, $restarted restarted, $refused refused")
        assertTrue(resumed > callers.size / 10, "$resumed resumed")
        assertTrue(restarted > callers.size / 100, "$restarted restarted")
        assertTrue(refused > 0)
    }

    private fun play(random: Random, hint: String): List<WorldCaller> {
        val world = World(random)
        val callers = List(3) { n ->
            WorldCaller(world, request(n / 2), streaming = n != 1, acceptsRestart = n != 2)
        }
        repeat(STEPS) {
            world.step()
            if (random.nextInt(12) == 0) world.fault()
            callers.filter { !it.ended }.forEach { act(it, world, random) }
        }
        world.heal()
        var rounds = 0
        while (callers.any { !it.ended }) {
            assertTrue(rounds++ < MAX_ROUNDS, "$hint does not end")
            repeat(20) { world.step() }
            callers.filter { !it.ended }.forEach { settle(it, world, rounds) }
        }
        return callers
    }

    private fun act(caller: WorldCaller, world: World, random: Random) {
        when {
            !caller.attached -> caller.comeBack(world.hosts.random(random))
            random.nextInt(25) == 0 -> caller.lose()
            else -> caller.read()
        }
    }

    /** A caller whose connection is of no use any more returns after a while. */
    private fun settle(caller: WorldCaller, world: World, round: Int) {
        caller.read()
        if (!caller.ended && round % 20 == 0) caller.lose()
        if (!caller.ended && !caller.attached) caller.comeBack(world.hosts.random(world.random))
    }

    private companion object {
        const val SEEDS = 1_500
        const val STEPS = 150
        const val MAX_ROUNDS = 400
    }
}
