/** Times of leases. */
package burdockspread.duty

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of leases, alike on all hosts.
 *
 * @property duration time from a write until another candidate may take over.
 * @property margin time before the end at which the holder stops by its own clock.
 * @property renewPeriod time between renewals.
 * @property pollPeriod time between a candidate's reads.
 * @property retryDelay pause after a store call that failed.
 * @property maxDrift largest relative error of a host's clock.
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
        require(margin >= duration * maxDrift) { "margin is below the drift of the clocks" }
        require(renewPeriod < duration - margin) { "renewPeriod is too long for the duration" }
    }

    /** Time that the holder may act after it sent a write. */
    public val actingPeriod: Duration get() = duration - margin

    /** Time that a candidate must see an object of [leaseDuration] unchanged. */
    public fun waitPeriod(leaseDuration: Duration): Duration = leaseDuration * (1 + maxDrift)
}
