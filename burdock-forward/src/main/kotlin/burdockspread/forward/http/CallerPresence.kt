/** Whether the caller of a request that was read late is still there. */
package burdockspread.forward.http

/**
 * A host that starts or does not keep up reads requests long after they arrived, and some callers
 * have closed their connections by then. The end of a connection is only seen by the read after the
 * one that brought the request, so such a request waits for it.
 */
internal class CallerPresence {
    private var state = State.UNKNOWN

    /** Whether the next request has to wait; not if the host reads in time. */
    fun isUncertain(isReadingLate: Boolean): Boolean =
        state == State.CHECKING || state == State.UNKNOWN && isReadingLate

    /** Starts a check with [readAgain], unless one is under way. */
    fun check(readAgain: () -> Unit) {
        if (state != State.UNKNOWN) return
        state = State.CHECKING
        readAgain()
    }

    /** Records that the next read showed no end; returns false if the check no longer counts. */
    fun onChecked(): Boolean {
        if (state != State.CHECKING) return false
        state = State.PRESENT
        return true
    }

    /** Forgets the result, since it says nothing about the next request. */
    fun reset() {
        state = State.UNKNOWN
    }

    private enum class State { UNKNOWN, CHECKING, PRESENT }
}
