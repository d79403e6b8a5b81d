/** Faults that can be injected into the in-memory store. */
package burdockspread.fakes.store

/** Fault of one call to a [FakeObjectStore]. */
public enum class StoreFault {
    /** The call succeeds. */
    NONE,

    /** The call is rejected before it takes effect. */
    REFUSED,

    /** The call takes effect, and its response is lost. */
    ANSWER_LOST,

    /** The call is lost before it takes effect, and gets no response. */
    CALL_LOST,

    /** The call gets no response and takes effect at [FakeObjectStore.deliverDelayedCalls]. */
    CALL_LATE,

    /** A read returns the previous value of the object; other calls succeed. */
    STALE_READ,
}

/** Selects the fault of each call. */
public fun interface StoreFaults {
    /** Returns the fault of the next call. */
    public fun next(): StoreFault
}
