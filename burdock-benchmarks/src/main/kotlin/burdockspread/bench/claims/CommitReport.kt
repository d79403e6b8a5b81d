/** Results of one run of the commit simulation. */
package burdockspread.bench.claims

import org.HdrHistogram.Histogram
import kotlin.time.DurationUnit

/** Call rates and waiting times of one scenario. */
internal class CommitReport(
    val scenario: CommitScenario,
    private val bookings: Int,
    private val sent: Int,
    private val waitMicros: Histogram,
    private val store: RateLimitedStore,
) {
    private val seconds = scenario.length.toDouble(DurationUnit.SECONDS)
    val sentShare: Double get() = sent.toDouble() / bookings
    val writesPerSecond: Double get() = store.writes / seconds
    val readsPerSecond: Double get() = store.reads / seconds
    val refusalsPerSecond: Double get() = store.refusals / seconds
    val waitP50Millis: Double get() = waitMicros.getValueAtPercentile(50.0) / MICROS_PER_MILLI
    val waitP99Millis: Double get() = waitMicros.getValueAtPercentile(99.0) / MICROS_PER_MILLI

    /** Whether the store sustains the rate of bookings, so that nearly all are sent. */
    val isSustained: Boolean get() = sentShare >= MIN_SENT_SHARE

    fun line(): String =
        "%-23s %5d %6d %8d %7.1f%% %8.0f %7.0f %8.0f %8.0f %9.0f %9.0f %7.0f".format(
            scenario.writeMode,
            scenario.hosts,
            scenario.shards,
            scenario.bookingsPerSecond,
            sentShare * 100,
            writesPerSecond,
            readsPerSecond,
            store.conflicts / seconds,
            store.refusals / seconds,
            waitP50Millis,
            waitP99Millis,
            store.bytes / seconds / 1_000,
        )

    companion object {
        private const val MICROS_PER_MILLI = 1_000.0
        private const val MIN_SENT_SHARE = 0.999
        const val HEADER =
            "writers                 hosts shards  bookings    sent   writes   reads conflicts" +
                "  refused  wait p50  wait p99    KB/s"
    }
}
