/** Feedback of one request to the counters of its target. */
package burdockspread.route

import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Instant

internal class RealInFlightRequest(
    private val live: LiveTarget,
    private val options: RouteOptions,
    private val pendingTokens: Int,
    private val expectedCached: Int,
    private val sentMillis: Long,
    private val expectedPrefillMillis: Long,
) : InFlightRequest {
    private val prefillEnded = AtomicBoolean()
    private val ended = AtomicBoolean()
    private val tokens = AtomicInteger()

    @Volatile
    private var firstTokenMillis = NO_TIME

    @Volatile
    private var lastTokenMillis = NO_TIME

    override val target: TargetId get() = live.id

    override fun onFirstToken(now: Instant, cachedTokens: Int?) {
        endPrefill()
        live.connected()
        val millis = now.toEpochMilliseconds()
        if (firstTokenMillis == NO_TIME) {
            firstTokenMillis = millis
            lastTokenMillis = millis
            live.samples.firstToken(millis - sentMillis)
            val queued = (millis - sentMillis - expectedPrefillMillis) / MILLIS
            live.poolLoad.window.onQueued(queued, live.poolLoad.own.get(), millis)
        }
        if (cachedTokens != null && expectedCached > 0) {
            val kept = minOf(cachedTokens, expectedCached) / expectedCached.toDouble()
            live.cacheTrust.add(kept, TRUST_PART)
        }
    }

    override fun onTokens(count: Int, now: Instant) {
        tokens.addAndGet(count)
        lastTokenMillis = now.toEpochMilliseconds()
    }

    override fun onDone(now: Instant) {
        val millis = now.toEpochMilliseconds()
        if (end(millis)) {
            live.slotSeconds.add((millis - sentMillis) / MILLIS, SLOT_TIME_PART)
            live.samples.done()
        }
        live.connected()
    }

    override fun onFailed(failure: RequestFailure, now: Instant) {
        val millis = now.toEpochMilliseconds()
        if (!end(millis)) return
        when (failure) {
            RequestFailure.NOT_CONNECTED -> live.pause(millis, options)
            RequestFailure.BROKEN -> live.samples.failed(stalled = false)
            RequestFailure.STALLED -> live.samples.failed(stalled = true)
            RequestFailure.CANCELLED -> Unit
        }
    }

    private fun end(nowMillis: Long): Boolean {
        endPrefill()
        if (!ended.compareAndSet(false, true)) return false
        live.ended(nowMillis)
        val after = tokens.get() - 1
        if (after > 0) live.samples.decoded(after.toLong(), lastTokenMillis - firstTokenMillis)
        return true
    }

    private fun endPrefill() {
        if (prefillEnded.compareAndSet(false, true)) {
            live.pendingPromptTokens.addAndGet(-pendingTokens)
        }
    }

    private companion object {
        const val TRUST_PART = 0.1
        const val SLOT_TIME_PART = 0.05
        const val MILLIS = 1_000.0
        const val NO_TIME = -1L
    }
}
