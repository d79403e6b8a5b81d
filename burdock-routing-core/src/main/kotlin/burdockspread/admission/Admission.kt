/** Admission of requests by deadline and priority, with a bounded queue for each target pool. */
package burdockspread.admission

import burdockspread.error.Refusal
import burdockspread.route.Choice
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetPool
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides which requests run, wait or are refused. May be called from several threads. */
public interface Admission {
    /** Decides on a new request. A refused request was not sent to any target. */
    public fun admit(request: RouteRequest, pool: TargetPool, now: Instant): AdmissionDecision

    /**
     * Starts waiting requests that fit now and refuses those that would miss their deadline. To be
     * called when a request of the pool ends, when load reports came, and at least every 50 ms
     * while requests wait.
     */
    public fun onSlotFreed(pool: TargetPool, now: Instant): ImmutableList<AdmissionEffect>

    /** Takes a waiting request back; false when it has left the queue already. */
    public fun cancel(queued: QueuedRequest): Boolean

    /** Number of requests that wait for [pool]. */
    public fun waiting(pool: TargetPool): Int

    /** Makes admissions. */
    public companion object {
        /** An admission that places requests by [chooser]. */
        public operator fun invoke(
            chooser: TargetChooser,
            options: AdmissionOptions = AdmissionOptions(),
        ): Admission = RealAdmission(chooser, options)
    }
}

/** Settings of admission. */
public data class AdmissionOptions(
    /** Most requests that wait for one pool. */
    public val maxQueueLength: Int = 256,
    /** Longest expected time in a target's own queue with which a request is sent. */
    public val maxTargetQueueTime: Duration = 200.milliseconds,
    /** Longest wait of a request without a deadline. */
    public val maxWait: Duration = 30.seconds,
    /** Multiple of the expected wait that has to fit before the deadline. */
    public val waitSafetyFactor: Double = 3.0,
    /** Wait that outweighs one priority level, so that no level starves. */
    public val priorityLevelStep: Duration = 2.seconds,
    /** Wait that outweighs one more waiting request of the same organisation. */
    public val organisationStep: Duration = 20.milliseconds,
)

/** A waiting request. */
public class QueuedRequest internal constructor(
    /** The request as it came. */
    public val request: RouteRequest,
    internal val pool: TargetPool,
    internal val key: QueueKey,
    internal val deadline: Instant,
)

/** What becomes of a new request. */
public sealed interface AdmissionDecision {
    /** Send it now. */
    public data class Run(public val choice: Choice) : AdmissionDecision

    /** It waits; an [AdmissionEffect] with the same queued ends the wait. */
    public data class Wait(public val queued: QueuedRequest, public val expected: Duration) :
        AdmissionDecision

    /** It was not run and will not be. */
    public data class Refuse(public val refusal: Refusal) : AdmissionDecision
}

/** End of the wait of one request. */
public sealed interface AdmissionEffect {
    /** The request that waited. */
    public val queued: QueuedRequest

    /** Send it now. */
    public data class Run(override val queued: QueuedRequest, public val choice: Choice) :
        AdmissionEffect

    /** It was not run and will not be. */
    public data class Refuse(override val queued: QueuedRequest, public val refusal: Refusal) :
        AdmissionEffect
}
