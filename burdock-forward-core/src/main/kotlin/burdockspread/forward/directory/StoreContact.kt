/** Tells an outage of the store, during which entries expire, from a watch that merely ended. */
package burdockspread.forward.directory

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides until when entries are kept that are missing from the store. Not thread-safe.
 *
 * An entry expires after three report intervals without a report, of which the last may be one
 * interval old when an outage begins. After a shorter interruption a missing entry has been removed
 * by its target or by the store, and is not kept.
 *
 * @param reportInterval interval at which targets renew their entries.
 */
public class StoreContact(reportInterval: Duration) {
    private val minOutage = reportInterval * 2
    private var failedAt: Instant = Instant.DISTANT_PAST

    /** As of when the store last confirmed what this host knows. */
    public var heardAt: Instant = Instant.DISTANT_PAST
        private set

    /** Until when missing entries may merely have expired. */
    public var keepUntil: Instant = Instant.DISTANT_PAST
        private set

    /** Records that the store confirmed the state as of [at], directly or through a peer. */
    public fun onHeard(at: Instant) {
        if (at <= heardAt) return
        if (failedAt > heardAt && at - heardAt >= minOutage) keepUntil = failedAt + RECONNECT_GRACE
        heardAt = at
    }

    /** Records that the store did not serve this host at [at]. */
    public fun onFailed(at: Instant) {
        failedAt = at
    }

    public companion object {
        /** Time after the store's return within which expired entries are registered again. */
        public val RECONNECT_GRACE: Duration = 2.seconds
    }
}
