/** Live counters of one target, shared by all snapshots of its pools. */
package burdockspread.route

import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Atomics that the path of a request touches. */
internal class LiveTarget(val id: TargetId, val index: Int, options: RouteOptions) {
    private val sends = SendRing()
    private val pausedUntilMillis = AtomicLong()
    private val failures = AtomicInteger()

    @Volatile
    var poolLoad: PoolLoad = PoolLoad()

    @Volatile
    var batchSlots: Int = 1

    val report = AtomicReference<LoadReport?>()
    val samples = SampleCounters()
    val inFlight = AtomicInteger()
    val pendingPromptTokens = AtomicInteger()
    val weight = Average(1.0)
    val slotSeconds = Average(options.initialSlotTime.inWholeMilliseconds / MILLIS)
    val cacheTrust = Average(1.0)
    val cacheSequence = AtomicLong(NO_SEQUENCE)
    val cacheClearedMillis = AtomicLong()
    val cacheGapMillis = AtomicLong()

    fun sent(promptTokens: Int, nowMillis: Long) {
        inFlight.incrementAndGet()
        poolLoad.own.incrementAndGet()
        pendingPromptTokens.addAndGet(promptTokens)
        sends.add(1, nowMillis)
    }

    fun ended(nowMillis: Long) {
        inFlight.decrementAndGet()
        poolLoad.own.decrementAndGet()
        sends.add(-1, nowMillis)
    }

    /** Own requests added since [sinceMillis]. */
    fun addedSince(sinceMillis: Long, nowMillis: Long): Int = sends.since(sinceMillis, nowMillis)

    fun paused(nowMillis: Long): Boolean = nowMillis < pausedUntilMillis.get()

    fun pause(nowMillis: Long, options: RouteOptions) {
        val doublings = minOf(failures.getAndIncrement(), MAX_DOUBLINGS)
        val pause = options.initialBackoff * (1 shl doublings)
        val bounded = minOf(pause, options.maxBackoff).inWholeMilliseconds
        pausedUntilMillis.accumulateAndGet(nowMillis + bounded, ::maxOf)
    }

    fun connected() {
        if (failures.get() != 0) failures.set(0)
    }

    companion object {
        const val NO_SEQUENCE = -1L
        private const val MAX_DOUBLINGS = 10
        private const val MILLIS = 1_000.0
    }
}
