/** At-most-once calls based on claims in the platform's store. */
package burdockspread.claim

import burdockspread.store.ObjectStore
import burdockspread.store.ResolvingStore
import burdockspread.time.TimeSource
import kotlin.time.Instant

/**
 * Claims calls that may not be repeated. Any process may claim any key; the store's conditional
 * update commits a single claim, and only the holder of that claim ever sends the call.
 */
public interface ClaimLedger {
    /** Claims a call, or returns what became of it. Returns within [ClaimSettings.claimTimeout]. */
    public suspend fun claim(request: ClaimRequest, now: Instant): ClaimDecision

    /**
     * Queues the outcome of a call for the store and closes the permit, so that the call can no
     * longer be sent.
     */
    public fun record(permit: SendPermit, outcome: CallOutcome, now: Instant)

    /** Reads and writes the store until cancelled. Must run once in each process. */
    public suspend fun runLoop()

    /** Returns the state for dumps and metrics. */
    public fun state(): ClaimLedgerState

    /** Creates ledgers. */
    public companion object {
        /** Creates a ledger. The [process] must be unique to this start of this host. */
        public fun create(
            process: String,
            store: ObjectStore,
            time: TimeSource,
            settings: ClaimSettings = ClaimSettings(),
            resolving: ResolvingStore = ResolvingStore(store),
        ): ClaimLedger = RealClaimLedger(process, store, resolving, time, settings)
    }
}
