/** The journal of a generation on the host that runs it. */
package burdockspread.journal

import burdockspread.generation.TokenLog
import kotlin.time.Instant

/**
 * Copies a long generation to its holders and says which tokens callers may see.
 *
 * Driven by the thread of the generation. Once copying has begun, a token is released when one
 * holder has it. If no holder can be reached, tokens are released without a copy; a host that takes
 * over then lacks them, finds that the caller is ahead of its copy, and restarts openly.
 */
public interface OwnerJournal {
    /** Where the tokens came from; the latest branch is this host's. */
    public val lineage: Lineage

    /** Number of tokens that callers may see. Any thread may read it. */
    public val released: Int

    /** Whether tokens beyond the copies are released because no holder can be reached. */
    public val isUnreplicated: Boolean

    /** Whether another host has taken the generation over. */
    public val isSuperseded: Boolean

    /** Reacts to [input] and returns what the shell has to do, in order. */
    public fun handle(input: JournalInput, now: Instant): List<JournalEffect>

    /** Time at which [JournalInput.Tick] is due, or null while there is none. */
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
