/** What one run of the commit simulation showed. */
package burdockspread.bench.claims

import org.HdrHistogram.Histogram
import kotlin.time.DurationUnit

/** Rates of one scenario over its length. */
internal class CommitReport(
    val scenario: CommitScenario,
    private val bookings: Int,
    private val sent: Int,
    private val wait: Histogram,
    private val store: RateLimitedStore,
) {
    private val seconds = scenario.length.toDouble(DurationUnit.SECONDS)
    val sentShare: Double get() = sent.toDouble() / bookings
    val writesPerSecond: Double get() = store.writes / seconds
    val readsPerSecond: Double get() = store.reads / seconds
    val refusalsPerSecond: Double get() = store.refusals / seconds
    val waitP50Millis: Double get() = wait.getValueAtPercentile(50.0) / MICROS_PER_MILLI
    val waitP99Millis: Double get() = wait.getValueAtPercentile(99.0) / MICROS_PER_MILLI

    /** Whether the store's rate carries the bookings: nearly all are sent and soon. */
    val isCarried: Boolean get() = sentShare >= CARRIED_SHARE

    fun line(): String =
        "%-23s %5d %6d %8d %7.1f%% %8.0f %7.0f %8.0f %8.0f %9.0f %9.0f %7.0f".format(
            scenario.writers,
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
        private const val CARRIED_SHARE = 0.999
        const val HEADER =
            "writers                 hosts shards  bookings    sent   writes   reads conflicts" +
                "  refused  wait p50  wait p99    KB/s"
    }
}
