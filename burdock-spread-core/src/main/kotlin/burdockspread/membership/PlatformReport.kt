/** The platform's eventually consistent list of live and leaving hosts and targets. */
package burdockspread.membership

/** State of a host or target in the list of the platform. */
public enum class PlatformState {
    /** Listed as live. */
    LIVE,

    /** Listed as leaving. */
    LEAVING,
}

/**
 * One row of the platform's list. The list lags: a row may refer to an earlier incarnation.
 *
 * @property incarnation start of the process in epoch milliseconds, or null if not listed.
 */
public data class PlatformReport<out I : Any>(
    public val id: I,
    public val state: PlatformState,
    public val incarnation: Long? = null,
)
