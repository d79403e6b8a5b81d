/** Admission control by deadline and priority, with a bounded queue per target pool. */
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

/** Decides whether a request runs, waits in a queue or is refused. Thread-safe. */
public interface Admission {
    /** Decides on a new request. A refused request has not been sent to any target. */
    public fun admit(request: RouteRequest, pool: TargetPool, now: Instant): AdmissionDecision

    /**
     * Starts queued requests for which [pool] now has capacity and refuses those that would miss
     * their deadline. Must be called when a request of the pool ends, when load reports arrive, and
     * at least every 50 ms while requests are queued.
     */
    public fun onSlotFreed(pool: TargetPool, now: Instant): ImmutableList<AdmissionEffect>

    /** Removes [queued] from its queue. Returns false if it has already left the queue. */
    public fun cancel(queued: QueuedRequest): Boolean

    /** Returns the number of requests queued for [pool]. */
    public fun waiting(pool: TargetPool): Int

    /** Creates [Admission] instances. */
    public companion object {
        /** Returns an admission that selects targets with [chooser]. */
        public operator fun invoke(
            chooser: TargetChooser,
            options: AdmissionOptions = AdmissionOptions(),
        ): Admission = RealAdmission(chooser, options)
    }
}

/** Settings of [Admission]. */
public data class AdmissionOptions(
    /** Maximum number of requests queued for one pool. */
    public val maxQueueLength: Int = 256,
    /** Longest expected time in a target's own queue at which a request is still sent. */
    public val maxTargetQueueTime: Duration = 200.milliseconds,
    /** Maximum wait of a request that has no deadline. */
    public val maxWait: Duration = 30.seconds,
    /** Multiple of the expected wait that must fit before the deadline. */
    public val waitSafetyFactor: Double = 3.0,
    /** Waiting time that offsets one priority level, which prevents starvation of any level. */
    public val priorityLevelStep: Duration = 2.seconds,
    /** Waiting time that offsets one more queued request of the same organisation. */
    public val organisationStep: Duration = 20.milliseconds,
)

/** A request that waits in the queue of its pool. */
public class QueuedRequest internal constructor(
    /** The request as it was passed to [Admission.admit]. */
    public val request: RouteRequest,
    internal val pool: TargetPool,
    internal val key: QueueKey,
    internal val deadline: Instant,
)

/** Decision on a new request. */
public sealed interface AdmissionDecision {
    /** The request is to be sent now. */
    public data class Run(public val choice: Choice) : AdmissionDecision

    /** The request is queued until an [AdmissionEffect] with the same [queued] ends the wait. */
    public data class Wait(public val queued: QueuedRequest, public val expectedWait: Duration) :
        AdmissionDecision

    /** The request was not run and will not be. */
    public data class Refuse(public val refusal: Refusal) : AdmissionDecision
}

/** End of the wait of one queued request. */
public sealed interface AdmissionEffect {
    /** The request that was queued. */
    public val queued: QueuedRequest

    /** The request is to be sent now. */
    public data class Run(override val queued: QueuedRequest, public val choice: Choice) :
        AdmissionEffect

    /** The request was not run and will not be. */
    public data class Refuse(override val queued: QueuedRequest, public val refusal: Refusal) :
        AdmissionEffect
}
