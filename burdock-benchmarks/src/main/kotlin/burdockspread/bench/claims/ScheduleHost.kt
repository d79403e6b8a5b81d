/** One process of a random schedule. */
package burdockspread.bench.claims

import burdockspread.claim.CallOutcome
import burdockspread.claim.ClaimAttempt
import burdockspread.claim.ClaimDecision
import burdockspread.claim.ClaimId
import burdockspread.claim.ClaimSettings
import burdockspread.claim.SendPermit
import burdockspread.claim.ShardStateMachine
import burdockspread.claim.ShardStep
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import kotlin.time.Instant

/** A call that a host holds a permit to send, or has sent. */
internal class HeldCall(val attempt: ClaimAttempt, val permit: SendPermit) {
    var isSent = false
}

/** A process with its shard, its current step and the calls that it holds. */
internal class ScheduleHost(val process: String, settings: ClaimSettings) {
    val machine = ShardStateMachine(0, process, settings)
    val attempts = HashMap<ClaimId, ClaimAttempt>()
    val heldCalls = ArrayList<HeldCall>()
    val decisionsById = HashMap<ClaimId, ClaimDecision>()
    var step: ShardStep? = null
    var result: StepResult? = null
    var pausedUntil: Instant = Instant.DISTANT_PAST
    private var lastNumber = 0

    fun nextId(): ClaimId = ClaimId("$process/${++lastNumber}")

    fun poll(now: Instant) {
        val next = machine.poll(now)
        step = next.takeUnless { it is ShardStep.Idle }
    }

    fun deliver(now: Instant) {
        when (val outcome = checkNotNull(result)) {
            is StepResult.Read -> machine.onRead(outcome.value, now)
            is StepResult.Write -> machine.onWrite(outcome.value, now)
            is StepResult.Delete -> machine.onDelete(now)
        }
        step = null
        result = null
    }

    /** Records a call as not sent. Its thread still holds the permit and may resume later. */
    fun release(call: HeldCall, now: Instant) {
        machine.record(call.permit, CallOutcome.NotSent, now)
    }
}

/** The result of a step, not yet delivered to the host. */
internal sealed interface StepResult {
    data class Read(val value: ReadResult) : StepResult

    data class Write(val value: ResolvedWrite) : StepResult

    data object Delete : StepResult
}
