/** At-most-once calls by claims in the platform's store. */
package burdockspread.claim

import burdockspread.store.ObjectStore
import burdockspread.store.ResolvingStore
import burdockspread.time.TimeSource
import kotlin.time.Instant

/**
 * Claims calls that may not be repeated. Any process may ask for any key; the store's conditional
 * update lets one claim in, and only its holder ever sends the call.
 */
public interface ClaimLedger {
    /** Claims a call, or tells what became of it. Answers within the wait of the settings. */
    public suspend fun claim(request: ClaimRequest, now: Instant): ClaimDecision

    /** Queues the outcome of a call for the store. The permit ends, so it can't be sent after. */
    public fun record(permit: SendPermit, outcome: CallOutcome, now: Instant)

    /** Reads and writes the store until it is cancelled. Runs once in each process. */
    public suspend fun runLoop()

    /** State for dumps and metrics. */
    public fun state(): ClaimLedgerState

    /** Makes ledgers. */
    public companion object {
        /** Makes a ledger. The [process] names this start of this host and no other one. */
        public fun create(
            process: String,
            store: ObjectStore,
            time: TimeSource,
            settings: ClaimSettings = ClaimSettings(),
            resolving: ResolvingStore = ResolvingStore(store),
        ): ClaimLedger = RealClaimLedger(process, store, resolving, time, settings)
    }
}
