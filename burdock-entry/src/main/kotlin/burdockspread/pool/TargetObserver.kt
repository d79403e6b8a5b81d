/** Hears how targets take connections. */
package burdockspread.pool

import burdockspread.id.TargetId

/** Hears from the path of a request whether targets can be reached. Calls must not block. */
public interface TargetObserver {
    /** [target] refused a connection. */
    public fun refused(target: TargetId)

    /** [target] answered. */
    public fun answered(target: TargetId)
}
