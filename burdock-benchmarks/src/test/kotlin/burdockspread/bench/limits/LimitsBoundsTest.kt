package burdockspread.bench.limits

import kotlin.test.Test
import kotlin.test.assertTrue

class LimitsBoundsTest {
    @Test
    fun `shares never pass the limit, large organisations use theirs, bytes fit the budget`() {
        val result = LimitsTrial(LimitsSize(3, 5, 10)).run()
        assertTrue(result.largestSum <= 1.0 + ROUNDING, "$result")
        assertTrue(result.largestRate <= 1.02, "$result")
        assertTrue(result.usedByLarge >= 0.9, "$result")
        assertTrue(result.largestBytes <= CONTROL_BYTES, "$result")
    }

    private companion object {
        const val ROUNDING = 1e-6
        const val CONTROL_BYTES = 28_000
    }
}
