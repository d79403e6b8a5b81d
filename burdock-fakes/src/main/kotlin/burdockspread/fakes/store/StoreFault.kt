/** Faults that the in-memory store can show. */
package burdockspread.fakes.store

/** What happens to one call to a [FakeObjectStore]. */
public enum class StoreFault {
    /** The call works. */
    NONE,

    /** The call is refused before it changes anything. */
    REFUSED,

    /** The call takes effect and its answer is lost. */
    ANSWER_LOST,

    /** The call never arrives and has no answer. */
    CALL_LOST,

    /** The call has no answer and arrives at the next [FakeObjectStore.deliverDelayedCalls]. */
    CALL_LATE,

    /** A read answers from the object's previous value; other calls work. */
    STALE_READ,
}

/** Chooses the fault of each call. */
public fun interface StoreFaults {
    /** The fault of the next call. */
    public fun next(): StoreFault
}
