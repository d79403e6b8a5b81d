/** The clock as the shells see it. Cores take the time as an argument and never read it. */
package burdockspread.time

import kotlin.time.Instant

/** Gives the present time. It never goes back within a process. */
public fun interface TimeSource {
    /** The present time. */
    public fun now(): Instant
}
