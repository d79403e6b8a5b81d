/**
 * Whether a response belongs to the call in progress.
 *
 * Targets echo the caller's id, and the response to another request may arrive late at the point
 * where this call's response is expected. A response that does not belong to the call says nothing
 * about it: it is skipped, and the right one may follow.
 */
package burdockspread.forward.exchange

/**
 * Returns whether the response belongs to [call]. A call without a caller's id has a connection of
 * its own, so that a response without id can only be its own.
 */
internal fun ResponseHead.belongsTo(call: Call): Boolean =
    requestId == if (call.isIdentified) call.id else null

/** Returns whether the response is signed and belongs to [call]. */
internal fun ResponseHead.isValidFor(call: Call): Boolean = sealed && belongsTo(call)
