/** Acquisition and renewal of a steward's lease. */
package burdockspread.steward

import burdockspread.duty.Candidate
import burdockspread.duty.CandidateId
import burdockspread.duty.Duty
import burdockspread.duty.DutySet
import burdockspread.duty.HeldLease
import burdockspread.duty.LeaseEffect
import burdockspread.duty.LeaseSettings
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager

/**
 * Drives a [DutySet] on [thread], one call at a time.
 *
 * Each steward is its own only candidate: the one that acquires the lease holds the duty, and the
 * others poll the lease. Stewards therefore need not know each other.
 */
internal class DutyRunner(
    private val scope: CoroutineScope,
    private val thread: CoroutineDispatcher,
    self: CandidateId,
    private val candidate: Candidate,
    private val duty: Duty,
    private val settings: LeaseSettings,
    private val leases: LeaseStore,
    private val time: TimeSource,
) {
    private val duties = DutySet.factory.create(self, settings)

    /** Returns the lease if this process holds it now. */
    fun held(): HeldLease? = duties.held(duty, time.now())

    /** Acquires and renews the lease until cancelled. */
    suspend fun run() {
        withContext(thread) {
            duties.onDuties(persistentListOf(duty))
            duties.onCandidates(persistentListOf(candidate))
        }
        while (true) {
            withContext(thread) { perform(duties.tick(time.now())) }
            delay(settings.retryDelay)
        }
    }

    /** Releases the lease, so that the next steward need not wait for it to expire. */
    suspend fun release() {
        withContext(thread) {
            duties.onDuties(persistentListOf())
            duties.tick(time.now()).forEach { effect ->
                if (effect is LeaseEffect.Write) leases.write(effect)
            }
        }
    }

    private fun perform(effects: List<LeaseEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is LeaseEffect.Read -> scope.launch(thread) { read(effect) }
                is LeaseEffect.Write -> scope.launch(thread) { write(effect) }
                is LeaseEffect.Acquired ->
                    log.info("acquired lease of {} with token {}", effect.duty, effect.token)
                is LeaseEffect.Lost -> log.info("lost lease of {}: {}", effect.duty, effect.reason)
            }
        }
    }

    private suspend fun read(effect: LeaseEffect.Read) {
        val read = leases.read(effect.duty)
        perform(duties.onRead(effect.duty, read, time.now()))
    }

    private suspend fun write(effect: LeaseEffect.Write) {
        val result = leases.write(effect)
        perform(duties.onWritten(effect.duty, effect.writeId, result, time.now()))
    }

    private companion object {
        val log = LogManager.getLogger(DutyRunner::class.java)
    }
}
