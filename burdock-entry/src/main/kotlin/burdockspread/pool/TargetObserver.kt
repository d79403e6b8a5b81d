/** Observation of the reachability of targets. */
package burdockspread.pool

import burdockspread.id.TargetId

/** Listener for the reachability of targets on the request path. Must not block. */
public interface TargetObserver {
    /** Called when [target] refused a connection. */
    public fun onConnectionRefused(target: TargetId)

    /** Called when [target] responded. */
    public fun onResponse(target: TargetId)
}
