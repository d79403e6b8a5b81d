/** Journal of a generation on the host that runs it. */
package burdockspread.journal

import burdockspread.generation.TokenLog
import kotlin.time.Instant

/**
 * Copies a long generation to its holders and determines which tokens callers may see.
 *
 * Driven by the thread of the generation. Once copying has started, a token is released when at
 * least one holder has it. If no holder can be reached, tokens are released without a copy; a host
 * that takes over then lacks them, detects that the caller is ahead of its copy, and restarts
 * explicitly.
 */
public interface OwnerJournal {
    /** Origin of the tokens; the latest branch belongs to this host. */
    public val lineage: Lineage

    /** Number of tokens that callers may see. Can be read from any thread. */
    public val released: Int

    /** Whether tokens are released without a copy because no holder can be reached. */
    public val isUnreplicated: Boolean

    /** Whether another host has taken the generation over. */
    public val isSuperseded: Boolean

    /** Handles [input] and returns the effects that the caller must execute, in order. */
    public fun handle(input: JournalInput, now: Instant): List<JournalEffect>

    /** Returns the time at which [JournalInput.Tick] is due, or null when there is none. */
    public fun nextDeadline(): Instant?

    public companion object {
        /**
         * Creates the journal of a generation whose accepted tokens are in [log].
         *
         * @param body the caller's request as JSON, copied for the host that takes over.
         */
        public operator fun invoke(
            key: CopyKey,
            lineage: Lineage,
            log: TokenLog,
            body: String,
            createdAt: Instant,
            policy: CopyPolicy,
        ): OwnerJournal = RealOwnerJournal(key, lineage, log, body, createdAt, policy)
    }
}
