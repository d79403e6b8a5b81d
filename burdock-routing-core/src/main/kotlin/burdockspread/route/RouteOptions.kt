/** Settings of target choice. */
package burdockspread.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a [TargetChooser] weighs targets. */
public data class RouteOptions(
    /** Random candidates from the host's own failure domain. */
    public val localSamples: Int = 3,
    /** Random candidates from everywhere, as many as local ones once those have to wait. */
    public val remoteSamples: Int = 1,
    /** Candidates taken because of their prefix cache. */
    public val prefixCandidates: Int = 3,
    /** A target elsewhere must be faster by this much to win against one of the own domain. */
    public val remoteMargin: Duration = 100.milliseconds,
    /** Age at which half of a load report's difference from its pool's mean still counts. */
    public val reportHalfLife: Duration = 2.seconds,
    /** Width of the random part of an expected load, in standard errors. */
    public val loadJitter: Double = 4.0,
    /** Age at which a record of a cached prefix counts half. */
    public val prefixHalfLife: Duration = 120.seconds,
    /** Expected time to load an adapter that the target lacks. */
    public val adapterLoadTime: Duration = 2.seconds,
    /** Time that a generation holds a slot, before any has been seen. */
    public val initialSlotTime: Duration = 4.seconds,
    /** Prompt tokens per second of a target that reports none. */
    public val initialPromptRate: Double = 8_000.0,
    /** First pause after a failed connection; doubles with each further one. */
    public val initialBackoff: Duration = 250.milliseconds,
    /** Longest pause after failed connections. */
    public val maxBackoff: Duration = 8.seconds,
    /** Entries of the prefix index, rounded up to a power of two; 8 bytes each. */
    public val prefixEntries: Int = 131_072,
)
