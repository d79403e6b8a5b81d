/**
 * Whether a target's response may be forwarded to the caller.
 *
 * Some statuses promise that the request has not run and never will, so that a caller may safely
 * send again what must not run twice. A target that has run a request can respond with such a
 * status all the same. Only its explicit statement that it did not execute the request counts, and
 * a request that was not executed is retried or refused by the host itself.
 */
package burdockspread.forward.exchange

/** Statuses that promise the caller that its request has not run and never will. */
private val NOT_RUN_STATUSES = setOf(408, MISDIRECTED, 429, 503)
private const val MISDIRECTED = 421
private const val FIRST_SERVER_ERROR = 500

/** Whether the status promises something that the response itself does not state. */
private val ResponseHead.isUnfoundedPromise: Boolean
    get() = status in NOT_RUN_STATUSES && !notExecuted

/** Whether another target than the expected one received the request, and did not execute it. */
internal val ResponseHead.isMisdirected: Boolean
    get() = status == MISDIRECTED

/** Whether the target failed the request or claims, after executing it, that it did not run. */
internal val ResponseHead.isFailure: Boolean
    get() = status >= FIRST_SERVER_ERROR || isUnfoundedPromise

/**
 * Returns whether the caller of [call] may receive the response. A repeatable call may be sent
 * again whatever has run, so its target's status is forwarded unchanged.
 */
internal fun ResponseHead.isForwardable(call: Call): Boolean = isValidFor(call) &&
    !notExecuted &&
    (call.route.kind.isRepeatable || !isUnfoundedPromise)
