/** Follows all objects of one kind through outages of the store. */
package burdockspread.store

import burdockspread.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.takeWhile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Lists a kind, watches it from there, and lists anew when the watch ends.
 *
 * Only the first list may be old, since the watch brings what is newer. After a watch has ended
 * an old list could lie before what the store remembers, and its watch would end again.
 *
 * A watch that ends at once counts as a failure like a list without an answer: a store that
 * answers reads and turns watches away is asked ever less often.
 *
 * Every answer of a watch is a call that is paid for, so after a change it is left for [batching]
 * to let more changes gather.
 */
public class KindWatcher(
    private val kind: String,
    private val store: ObjectStore,
    private val sink: KindListener,
    private val clock: TimeSource,
    private val backoff: Backoff = Backoff(),
    private val batching: Duration = BATCHING,
) {
    /** Runs until it is cancelled. */
    public suspend fun run() {
        var failures = 0
        var first = true
        while (true) {
            val listed = if (first) store.listCached(kind) else store.list(kind)
            first = false
            val lived = if (listed is ListResult.Listed) follow(listed) else Duration.ZERO
            failures = if (lived >= HEALTHY_WATCH) 0 else failures + 1
            if (listed is ListResult.Unavailable) sink.onUnavailable(kind, listed.reason)
            delay(backoff.wait(failures))
        }
    }

    /** Returns how long the watch gave answers. */
    private suspend fun follow(listed: ListResult.Listed): Duration {
        sink.onListed(kind, listed)
        val start = clock.now()
        var last = start
        var reason = ""
        var changed = false
        store.watch(kind, listed.version)
            .takeWhile { event ->
                if (event is WatchEvent.Ended) reason = event.reason
                event !is WatchEvent.Ended
            }
            .collect { event ->
                last = clock.now()
                sink.onEvent(kind, event)
                if (event is WatchEvent.Progress && changed) delay(batching)
                changed = event !is WatchEvent.Progress
            }
        sink.onUnavailable(kind, reason)
        return last - start
    }

    private companion object {
        /** A watch that gave answers for this long was no failure. */
        val HEALTHY_WATCH = 2.seconds

        /** A fifth of the two seconds in which an edit has to be in force. */
        val BATCHING = 400.milliseconds
    }
}

/** Takes what a [KindWatcher] reads. */
public interface KindListener {
    /** The kind as a whole. */
    public fun onListed(kind: String, listed: ListResult.Listed)

    /** A change, or the news that there is none. */
    public fun onEvent(kind: String, event: WatchEvent)

    /** The store gave no answer or ended the watch. */
    public fun onUnavailable(kind: String, reason: String)
}

/** Waits that double from [first] to [longest]. */
public data class Backoff(
    private val first: Duration = 100.milliseconds,
    private val longest: Duration = 1.seconds,
) {
    /** The wait after [failures] failures in a row; [first] after none. */
    public fun wait(failures: Int): Duration =
        minOf(first * (1 shl failures.coerceIn(0, MAX_DOUBLINGS)), longest)

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
