package burdockspread.forward.rollout

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class VersionJudgeTest {
    @Test
    fun `no verdict without enough responses`() {
        assertEquals(VersionVerdict.OPEN, judge(old = 100 to 0, new = 11 to 0))
        assertEquals(VersionVerdict.GOOD, judge(old = 100 to 0, new = 12 to 0))
    }

    @Test
    fun `a version that fails half of its requests is bad after a few`() {
        assertEquals(VersionVerdict.BAD, judge(old = 100 to 1, new = 10 to 5))
        assertEquals(VersionVerdict.BAD, judge(old = 0 to 0, new = 6 to 5))
    }

    @Test
    fun `failures that meet the old version as well do not count`() {
        assertEquals(VersionVerdict.GOOD, judge(old = 200 to 60, new = 20 to 7))
        assertEquals(VersionVerdict.OPEN, judge(old = 200 to 20, new = 20 to 6))
    }

    @Test
    fun `a version that is bad on one route only is bad`() {
        val tally = VersionTally(
            persistentMapOf(
                "common" to RouteTally(ResponseCount(2_000, 20), ResponseCount(200, 2)),
                "rare" to RouteTally(ResponseCount(30, 0), ResponseCount(8, 5)),
            ),
        )
        assertEquals(VersionVerdict.BAD, VersionJudge.judge(tally, MIN_RESPONSES))
    }

    // 10,000 rollouts of each kind, judged at each of 40 responses on two routes.
    @Test
    fun `few good versions are called bad and no bad one is called good for long`() {
        val random = Random(46)
        val falseAlarms = (1..ROLLOUTS).count { drawn(random, newBad = 0.02).first }
        val missed = (1..ROLLOUTS).count { !drawn(random, newBad = 0.4).first }
        val passed = (1..ROLLOUTS).count { drawn(random, newBad = 0.4).second }
        println("false alarms $falseAlarms, missed $missed, good in passing $passed of $ROLLOUTS")
        assertTrue(falseAlarms <= ROLLOUTS / 200, "$falseAlarms false alarms")
        assertTrue(missed <= ROLLOUTS / 200, "$missed bad versions were missed")
    }

    /** Whether a version was ever called bad, and whether it was called good before. */
    private fun drawn(random: Random, newBad: Double): Pair<Boolean, Boolean> {
        var wasGood = false
        val routes = HashMap<String, RouteTally>()
        repeat(RESPONSES) { i ->
            val route = "r${i % 2}"
            val tally = routes[route] ?: RouteTally()
            val old = (1..10).fold(tally.old) { sum, _ -> sum + draw(random, 0.02) }
            routes[route] = RouteTally(old, tally.new + draw(random, newBad))
            when (VersionJudge.judge(VersionTally(routes.toImmutableMap()), MIN_RESPONSES)) {
                VersionVerdict.BAD -> return true to wasGood
                VersionVerdict.GOOD -> wasGood = true
                VersionVerdict.OPEN -> Unit
            }
        }
        return false to wasGood
    }

    private fun draw(random: Random, bad: Double) =
        ResponseCount(1, if (random.nextDouble() < bad) 1 else 0)

    private fun judge(old: Pair<Int, Int>, new: Pair<Int, Int>): VersionVerdict {
        val tally = RouteTally(
            ResponseCount(old.first, old.second),
            ResponseCount(new.first, new.second),
        )
        return VersionJudge.judge(VersionTally(persistentMapOf("r" to tally)), MIN_RESPONSES)
    }

    private companion object {
        const val MIN_RESPONSES = 12
        const val ROLLOUTS = 10_000
        const val RESPONSES = 40
    }
}
