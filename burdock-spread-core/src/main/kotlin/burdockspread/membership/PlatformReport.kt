/** The platform's lagging list of live and leaving hosts and targets. */
package burdockspread.membership

/** What the platform's list says about one host or target. */
public enum class PlatformState {
    /** Listed as live. */
    LIVE,

    /** Listed as leaving. */
    LEAVING,
}

/**
 * One row of the platform's list. The list lags: a row may be about an earlier incarnation.
 *
 * @property incarnation start of the process in epoch milliseconds, or null when not listed.
 */
public data class PlatformReport<out I : Any>(
    public val id: I,
    public val state: PlatformState,
    public val incarnation: Long? = null,
)
