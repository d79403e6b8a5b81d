/** Feedback of one request to the counters of its target. */
package burdockspread.route

import burdockspread.id.TargetId
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Instant

internal class RealFlight(
    private val live: LiveTarget,
    private val options: RouteOptions,
    private val pendingTokens: Int,
    private val expectedCached: Int,
    private val sentMillis: Long,
) : Flight {
    private val prefillEnded = AtomicBoolean()
    private val ended = AtomicBoolean()

    override val target: TargetId get() = live.id

    override fun onFirstToken(now: Instant, cachedTokens: Int?) {
        endPrefill()
        live.connected()
        if (cachedTokens != null && expectedCached > 0) {
            val kept = minOf(cachedTokens, expectedCached) / expectedCached.toDouble()
            live.cacheTrust.add(kept, TRUST_PART)
        }
    }

    override fun onTokens(count: Int, now: Instant) = Unit

    override fun onDone(now: Instant) {
        val millis = now.toEpochMilliseconds()
        if (end(millis)) live.slotSeconds.add((millis - sentMillis) / MILLIS, SLOT_TIME_PART)
        live.connected()
    }

    override fun onFailed(failure: FlightFailure, now: Instant) {
        val millis = now.toEpochMilliseconds()
        if (end(millis) && failure == FlightFailure.NOT_CONNECTED) live.pause(millis, options)
    }

    private fun end(nowMillis: Long): Boolean {
        endPrefill()
        if (!ended.compareAndSet(false, true)) return false
        live.ended(nowMillis)
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
    }
}
