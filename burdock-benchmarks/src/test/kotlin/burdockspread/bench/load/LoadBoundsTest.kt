package burdockspread.bench.load

import kotlin.test.Test
import kotlin.test.assertTrue

/** The load policy on an emulator of runners, in virtual time and with fixed seeds. */
class LoadBoundsTest {
    @Test
    fun `on every pattern no baseline serves more in time`() {
        val slack = 0.01
        for (pattern in PATTERNS) {
            val ours = mean(OURS, pattern)
            val best = listOf(RANDOM, TWO_CHOICES, LEAST_OWN).maxOf { mean(it, pattern) }
            assertTrue(ours >= best - slack, "${pattern.name}: $ours, best baseline $best")
        }
    }

    @Test
    fun `domain losses - hosts that tell each other their loads serve more than each alone`() {
        assertTrue(mean(OURS, DOMAIN_LOSSES) > mean(OURS_ALONE, DOMAIN_LOSSES) + 0.02)
    }

    @Test
    fun `burst of three times the load - hosts that tell each other serve more than each alone`() {
        assertTrue(mean(OURS, BURST) > mean(OURS_ALONE, BURST) + 0.02)
    }

    @Test
    fun `many small hosts - an answer is whole a tenth sooner when hosts tell each other`() {
        val alone = SEEDS.map { Trial(OURS_ALONE, MANY_HOSTS, it).run().meanWhole }.average()
        val told = SEEDS.map { Trial(OURS, MANY_HOSTS, it).run().meanWhole }.average()
        assertTrue(told < 0.9 * alone, "$told, alone $alone")
    }

    @Test
    fun `loads that are told late do harm`() {
        assertTrue(mean(OURS_LATE, DOMAIN_LOSSES) < mean(OURS, DOMAIN_LOSSES))
    }

    private fun mean(policy: NamedPolicy, pattern: Pattern): Double =
        SEEDS.map { Trial(policy, pattern, it).run().goodput }.average()

    private companion object {
        val SEEDS = 1L..3L
    }
}
