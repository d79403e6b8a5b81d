/** Timing of leases. */
package burdockspread.duty

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of leases. They must be the same on all hosts.
 *
 * @property duration time from a write until another candidate may take over.
 * @property margin time before expiry at which the holder stops, by its own clock.
 * @property renewPeriod interval between renewals.
 * @property pollPeriod interval between the reads of a candidate.
 * @property retryDelay delay after a failed store call.
 * @property maxDrift maximum relative drift of a host's clock.
 */
public data class LeaseSettings(
    public val duration: Duration = 15.seconds,
    public val margin: Duration = 2.seconds,
    public val renewPeriod: Duration = 5.seconds,
    public val pollPeriod: Duration = 5.seconds,
    public val retryDelay: Duration = 500.milliseconds,
    public val maxDrift: Double = 0.01,
) {
    init {
        require(margin >= duration * maxDrift) { "margin must be at least duration * maxDrift" }
        require(renewPeriod < duration - margin) {
            "renewPeriod must be shorter than duration - margin"
        }
    }

    /** Time for which the holder may act after it sent a write. */
    public val actingPeriod: Duration get() = duration - margin

    /** Returns how long a candidate must see an object of [leaseDuration] unchanged. */
    public fun waitPeriod(leaseDuration: Duration): Duration = leaseDuration * (1 + maxDrift)
}
