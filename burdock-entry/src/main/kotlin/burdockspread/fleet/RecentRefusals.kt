/** Count of recent refusals. */
package burdockspread.fleet

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.OrganisationId
import burdockspread.id.RequestId
import burdockspread.observe.EntryListener
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.LongAdder

/** Counts refusals by code over periods of a minute, delimited by [rotate]. */
internal class RecentRefusals : EntryListener {
    private val current = AtomicReference(ConcurrentHashMap<ErrorCode, LongAdder>())

    @Volatile
    private var last: Map<ErrorCode, Long> = emptyMap()

    override fun onRefused(request: RequestId, organisation: OrganisationId?, refusal: Refusal) {
        current.get().computeIfAbsent(refusal.code) { LongAdder() }.increment()
    }

    /** Ends the current minute and starts the next. */
    fun rotate() {
        val ended = current.getAndSet(ConcurrentHashMap())
        last = ended.mapValues { it.value.sum() }
    }

    /** Returns the refusals by code in the last complete minute. */
    fun perMinute(): Map<ErrorCode, Long> = last
}
