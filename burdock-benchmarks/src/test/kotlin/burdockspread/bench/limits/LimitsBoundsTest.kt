package burdockspread.bench.limits

import kotlin.test.Test
import kotlin.test.assertTrue

class LimitsBoundsTest {
    @Test
    fun `shares stay within the limit, large organisations use theirs, traffic fits its budget`() {
        val result = LimitsTrial(LimitsSize(3, 5, 10)).run()
        assertTrue(result.maxShareSum <= 1.0 + ROUNDING, "$result")
        assertTrue(result.maxRate <= 1.02, "$result")
        assertTrue(result.largeUtilization >= 0.9, "$result")
        assertTrue(result.maxBytesPerSecond <= CONTROL_BYTES_PER_SECOND, "$result")
    }

    private companion object {
        const val ROUNDING = 1e-6
        const val CONTROL_BYTES_PER_SECOND = 28_000
    }
}
