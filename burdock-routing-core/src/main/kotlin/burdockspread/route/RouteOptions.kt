/** Settings of target selection. */
package burdockspread.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings with which a [TargetChooser] compares targets. */
public data class RouteOptions(
    /** Number of random candidates from the host's own failure domain. */
    public val localSamples: Int = 3,
    /** Random candidates from all domains; raised to [localSamples] if local ones have to wait. */
    public val remoteSamples: Int = 1,
    /** Number of candidates considered because of their prefix cache. */
    public val prefixCandidates: Int = 3,
    /** Time by which a target of another domain must be faster to be preferred to a local one. */
    public val remoteMargin: Duration = 100.milliseconds,
    /** Age at which a load report's difference from its pool's mean has half its weight. */
    public val reportHalfLife: Duration = 2.seconds,
    /** Width of the random jitter of an expected load, in standard errors. */
    public val loadJitter: Double = 4.0,
    /** Age at which a record of a cached prefix has half its weight. */
    public val prefixHalfLife: Duration = 120.seconds,
    /** Expected time to load an adapter that the target does not have loaded. */
    public val adapterLoadTime: Duration = 2.seconds,
    /** Initial value for the time that a generation occupies a batch slot. */
    public val initialSlotTime: Duration = 4.seconds,
    /** Assumed prompt tokens per second of a target that does not report its rate. */
    public val initialPromptRate: Double = 8_000.0,
    /** Backoff after the first failed connection; doubles with each further failure. */
    public val initialBackoff: Duration = 250.milliseconds,
    /** Maximum backoff after failed connections. */
    public val maxBackoff: Duration = 8.seconds,
    /** Capacity of the prefix index, rounded up to a power of two; 8 bytes per entry. */
    public val prefixEntries: Int = 131_072,
)
