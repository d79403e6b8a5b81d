/** Follows all objects of one kind through outages of the store. */
package burdockspread.store

import burdockspread.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.takeWhile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Lists the objects of a kind, watches for changes, and lists again when the watch ends.
 *
 * Only the first list may be served from a cache, if [startsCached], since the watch brings what is
 * newer. After a watch has ended, a cached list could be older than the history that the store
 * keeps, and its watch would end again.
 *
 * A watch that ends at once counts as a failure like an unanswered list, so that a store that
 * answers reads but rejects watches is called with increasing delays.
 *
 * Every response of a watch counts as a store call, so after a change the watcher waits for
 * [batchingDelay] to batch further changes.
 */
public class KindWatcher(
    private val kind: String,
    private val store: ObjectStore,
    private val listener: KindListener,
    private val clock: TimeSource,
    private val backoff: Backoff = Backoff(),
    private val batchingDelay: Duration = BATCHING_DELAY,
    private val startsCached: Boolean = true,
) {
    /** Runs until cancelled. */
    public suspend fun run() {
        var failures = 0
        var isCached = startsCached
        while (true) {
            val listed = if (isCached) store.listCached(kind) else store.list(kind)
            isCached = false
            val watchTime = if (listed is ListResult.Listed) watchFrom(listed) else Duration.ZERO
            failures = if (watchTime >= MIN_HEALTHY_WATCH) 0 else failures + 1
            if (listed is ListResult.Unavailable) listener.onUnavailable(kind, listed.reason)
            delay(backoff.delayAfter(failures))
        }
    }

    /** Returns for how long the watch delivered events. */
    private suspend fun watchFrom(listed: ListResult.Listed): Duration {
        listener.onListed(kind, listed)
        val startedAt = clock.now()
        var lastEventAt = startedAt
        var reason = ""
        var hasChanges = false
        store.watch(kind, listed.version)
            .takeWhile { event ->
                if (event is WatchEvent.Ended) reason = event.reason
                event !is WatchEvent.Ended
            }
            .collect { event ->
                lastEventAt = clock.now()
                listener.onEvent(kind, event)
                if (event is WatchEvent.Progress && hasChanges) delay(batchingDelay)
                hasChanges = event !is WatchEvent.Progress
            }
        listener.onWatchEnded(kind, reason)
        return lastEventAt - startedAt
    }

    private companion object {
        /** A watch that delivered events for this long does not count as a failure. */
        val MIN_HEALTHY_WATCH = 2.seconds

        /** A fifth of the two seconds in which an edit has to be in force. */
        val BATCHING_DELAY = 400.milliseconds
    }
}

/** Receives the objects and events that a [KindWatcher] reads. */
public interface KindListener {
    /** Called with all objects of the kind. */
    public fun onListed(kind: String, listed: ListResult.Listed)

    /** Called with a change, or with a notice that nothing has changed. */
    public fun onEvent(kind: String, event: WatchEvent)

    /** Called when a watch has ended, which says nothing about the store itself. */
    public fun onWatchEnded(kind: String, reason: String)

    /** Called when the store does not answer a list. */
    public fun onUnavailable(kind: String, reason: String)
}

/** Exponential delays from [initialDelay] to [maxDelay], doubling each time. */
public data class Backoff(
    private val initialDelay: Duration = 100.milliseconds,
    private val maxDelay: Duration = 1.seconds,
) {
    /** Returns the delay after [failures] consecutive failures; [initialDelay] after none. */
    public fun delayAfter(failures: Int): Duration =
        minOf(initialDelay * (1 shl failures.coerceIn(0, MAX_DOUBLINGS)), maxDelay)

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
