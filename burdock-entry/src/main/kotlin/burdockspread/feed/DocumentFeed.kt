/** Brings the sections of the document from the store to this host. */
package burdockspread.feed

import burdockspread.store.ListResult
import burdockspread.store.ObjectStore
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Takes sections as they come from the store. */
internal fun interface SectionSink {
    /** Takes [value], whose version is the section's version. */
    fun take(value: StoredObject)
}

/** Lists and watches the sections for as long as [run] runs, through outages of the store. */
internal class DocumentFeed(
    private val store: ObjectStore,
    private val sink: SectionSink,
    private val random: Random,
) {
    /** Follows the store until cancelled. */
    suspend fun run() {
        var pause = FIRST_PAUSE
        while (true) {
            val listed = store.list(SECTIONS)
            if (listed is ListResult.Listed) {
                pause = FIRST_PAUSE
                listed.objects.forEach(sink::take)
                follow(listed.version)
            }
            delay(jittered(pause))
            pause = (pause * 2).coerceAtMost(LAST_PAUSE)
        }
    }

    private suspend fun follow(version: Long) {
        store.watch(SECTIONS, version).collect { event ->
            if (event is WatchEvent.Put) sink.take(event.value)
        }
    }

    /** Spreads the returns of many hosts after an outage. */
    private fun jittered(pause: Duration): Duration = pause * (1 + random.nextDouble())

    private companion object {
        const val SECTIONS = "sections"
        val FIRST_PAUSE = 200.milliseconds
        val LAST_PAUSE = 5.seconds
    }
}
