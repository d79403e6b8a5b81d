package burdockspread.bench.load

import kotlin.test.Test
import kotlin.test.assertTrue

/** Bounds on the load policy with simulated runners, in virtual time and with fixed seeds. */
class LoadBoundsTest {
    @Test
    fun `no baseline has higher goodput under any load pattern`() {
        val slack = 0.01
        for (pattern in PATTERNS) {
            val sharing = mean(DOMAIN_SHARING, pattern)
            val best = listOf(RANDOM, TWO_CHOICES, LEAST_IN_FLIGHT).maxOf { mean(it, pattern) }
            assertTrue(sharing >= best - slack, "${pattern.name}: $sharing, best baseline $best")
        }
    }

    @Test
    fun `sharing loads raises goodput when failure domains crash`() {
        assertTrue(mean(DOMAIN_SHARING, DOMAIN_LOSSES) > mean(NO_SHARING, DOMAIN_LOSSES) + 0.02)
    }

    @Test
    fun `sharing loads raises goodput in a burst of three times the load`() {
        assertTrue(mean(DOMAIN_SHARING, BURST) > mean(NO_SHARING, BURST) + 0.02)
    }

    @Test
    fun `sharing loads completes responses a tenth sooner with many small hosts`() {
        val alone = SEEDS.map { Trial(NO_SHARING, MANY_HOSTS, it).run().completionMillis }.average()
        val shared = SEEDS.map { Trial(DOMAIN_SHARING, MANY_HOSTS, it).run().completionMillis }
            .average()
        assertTrue(shared < 0.9 * alone, "$shared, alone $alone")
    }

    @Test
    fun `sharing loads late lowers goodput when failure domains crash`() {
        assertTrue(mean(LATE_SHARING, DOMAIN_LOSSES) < mean(DOMAIN_SHARING, DOMAIN_LOSSES))
    }

    private fun mean(policy: NamedPolicy, pattern: Pattern): Double =
        SEEDS.map { Trial(policy, pattern, it).run().goodput }.average()

    private companion object {
        val SEEDS = 1L..3L
    }
}
