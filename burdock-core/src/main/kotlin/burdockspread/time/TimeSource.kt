/**
 * Clock of the code that performs I/O. State machines take the time as an argument and never read
 * it.
 */
package burdockspread.time

import kotlin.time.Instant

/** Provides the current time, which never decreases within a process. */
public fun interface TimeSource {
    /** Returns the current time. */
    public fun now(): Instant
}
