/** Default implementation of [InFlightRequest], which updates the state of its target. */
package burdockspread.route

import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Instant

internal class RealInFlightRequest(
    private val state: TargetState,
    private val options: RouteOptions,
    private val uncachedTokens: Int,
    private val expectedCached: Int,
    private val sentMillis: Long,
    private val expectedPrefillMillis: Long,
) : InFlightRequest {
    private val prefillEnded = AtomicBoolean()
    private val ended = AtomicBoolean()
    private val tokenCount = AtomicInteger()

    @Volatile
    private var firstTokenMillis = NO_TIME

    @Volatile
    private var lastTokenMillis = NO_TIME

    override val target: TargetId get() = state.id

    override fun onFirstToken(now: Instant, cachedTokens: Int?) {
        endPrefill()
        state.onConnected()
        val millis = now.toEpochMilliseconds()
        if (firstTokenMillis == NO_TIME) {
            firstTokenMillis = millis
            lastTokenMillis = millis
            state.samples.onFirstToken(millis - sentMillis)
            val queueSeconds = (millis - sentMillis - expectedPrefillMillis) / MILLIS_PER_SECOND
            state.poolLoad.window.onQueueTime(
                queueSeconds,
                state.poolLoad.ownInFlight.get(),
                millis,
            )
        }
        if (cachedTokens != null && expectedCached > 0) {
            val accuracy = minOf(cachedTokens, expectedCached) / expectedCached.toDouble()
            state.cacheAccuracy.add(accuracy, ACCURACY_WEIGHT)
        }
    }

    override fun onTokens(count: Int, now: Instant) {
        tokenCount.addAndGet(count)
        lastTokenMillis = now.toEpochMilliseconds()
    }

    override fun onDone(now: Instant) {
        val millis = now.toEpochMilliseconds()
        if (end(millis)) {
            state.slotSeconds.add((millis - sentMillis) / MILLIS_PER_SECOND, SLOT_TIME_WEIGHT)
            state.samples.onDone()
        }
        state.onConnected()
    }

    override fun onFailed(failure: RequestFailure, now: Instant) {
        val millis = now.toEpochMilliseconds()
        if (!end(millis)) return
        when (failure) {
            RequestFailure.NOT_CONNECTED -> state.backOff(millis, options)
            RequestFailure.BROKEN -> state.samples.onFailed(stalled = false)
            RequestFailure.STALLED -> state.samples.onFailed(stalled = true)
            RequestFailure.CANCELLED -> Unit
        }
    }

    private fun end(nowMillis: Long): Boolean {
        endPrefill()
        if (!ended.compareAndSet(false, true)) return false
        state.onEnded(nowMillis)
        val later = tokenCount.get() - 1
        if (later > 0) state.samples.onDecoded(later.toLong(), lastTokenMillis - firstTokenMillis)
        return true
    }

    private fun endPrefill() {
        if (prefillEnded.compareAndSet(false, true)) {
            state.pendingPromptTokens.addAndGet(-uncachedTokens)
        }
    }

    private companion object {
        const val ACCURACY_WEIGHT = 0.1
        const val SLOT_TIME_WEIGHT = 0.05
        const val MILLIS_PER_SECOND = 1_000.0
        const val NO_TIME = -1L
    }
}
