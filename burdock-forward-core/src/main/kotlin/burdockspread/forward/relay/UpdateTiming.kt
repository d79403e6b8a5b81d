/** Timing of updates, derived from the time within which a change must be in force. */
package burdockspread.forward.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds the age of what a host knows, whatever path its updates take.
 *
 * A host whose view is older than [maxAge] asks the store itself, at once and beside whatever relay
 * it is waiting for. So a host that reaches the store acts on a change after [maxAge], the interval
 * of this check and one list. The rest of the limit covers a connection to a target.
 *
 * @param applyLimit time within which a change must be in force, such as that a target leaves.
 * @param reportInterval interval at which targets renew their entries.
 */
public class UpdateTiming(
    applyLimit: Duration = DEFAULT_APPLY_LIMIT,
    public val reportInterval: Duration = DEFAULT_REPORT_INTERVAL,
) {
    /** Maximum wait of a watch; the store then answers even if nothing has changed. */
    public val watchWait: Duration = applyLimit * WATCH_FRACTION

    /** Maximum age of a view that is up to date: one watch and the pause after a change. */
    public val maxAge: Duration = applyLimit * AGE_FRACTION

    /** Maximum wait of a follower at its relay, which answers when its own watch does. */
    public val followWait: Duration = maxAge

    /** Interval at which a host checks the age of its view. */
    public val ageCheckInterval: Duration = applyLimit * CHECK_FRACTION

    public companion object {
        /** The shortest limit among the known deployments. */
        public val DEFAULT_APPLY_LIMIT: Duration = 2.seconds
        public val DEFAULT_REPORT_INTERVAL: Duration = 1_200.milliseconds
        private const val WATCH_FRACTION = 0.4
        private const val AGE_FRACTION = 0.7
        private const val CHECK_FRACTION = 0.05
    }
}
