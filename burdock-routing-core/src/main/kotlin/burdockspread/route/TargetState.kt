/** Mutable state of one target, shared by all snapshots of its pools. */
package burdockspread.route

import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Counters and measurements of one target. Request threads update them without locks. */
internal class TargetState(val id: TargetId, val index: Int, options: RouteOptions) {
    private val inFlightChanges = SlidingWindowCounter()
    private val backoffUntilMillis = AtomicLong()
    private val connectFailures = AtomicInteger()

    @Volatile
    var poolLoad: PoolLoad = PoolLoad()

    @Volatile
    var batchSlots: Int = 1

    val report = AtomicReference<LoadReport?>()
    val samples = SampleCounters()
    val inFlight = AtomicInteger()
    val pendingPromptTokens = AtomicInteger()
    val weight = MovingAverage(1.0)
    val slotSeconds = MovingAverage(options.initialSlotTime.inWholeMilliseconds / MILLIS_PER_SECOND)
    val cacheAccuracy = MovingAverage(1.0)
    val cacheSequence = AtomicLong(NO_SEQUENCE)
    val cacheClearedMillis = AtomicLong()
    val cacheEventGapMillis = AtomicLong()

    fun onSent(promptTokens: Int, nowMillis: Long) {
        inFlight.incrementAndGet()
        poolLoad.ownInFlight.incrementAndGet()
        pendingPromptTokens.addAndGet(promptTokens)
        inFlightChanges.add(1, nowMillis)
    }

    fun onEnded(nowMillis: Long) {
        inFlight.decrementAndGet()
        poolLoad.ownInFlight.decrementAndGet()
        inFlightChanges.add(-1, nowMillis)
    }

    /** Returns the net number of own requests added since [sinceMillis]. */
    fun addedSince(sinceMillis: Long, nowMillis: Long): Int =
        inFlightChanges.sumSince(sinceMillis, nowMillis)

    fun isBackingOff(nowMillis: Long): Boolean = nowMillis < backoffUntilMillis.get()

    fun backOff(nowMillis: Long, options: RouteOptions) {
        val doublings = minOf(connectFailures.getAndIncrement(), MAX_DOUBLINGS)
        val backoff = options.initialBackoff * (1 shl doublings)
        val bounded = minOf(backoff, options.maxBackoff).inWholeMilliseconds
        backoffUntilMillis.accumulateAndGet(nowMillis + bounded, ::maxOf)
    }

    fun onConnected() {
        if (connectFailures.get() != 0) connectFailures.set(0)
    }

    companion object {
        const val NO_SEQUENCE = -1L
        private const val MAX_DOUBLINGS = 10
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
