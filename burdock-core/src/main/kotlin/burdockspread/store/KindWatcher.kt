/** Follows all objects of one kind through outages of the store. */
package burdockspread.store

import burdockspread.time.TimeSource
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
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
 * Where another source is faster than the watch, [known] tells up to which version the listener
 * knows the kind by now. What the watch would still bring up to there is given up, since a large
 * object may take seconds on a slow link, and the watch goes on from that version.
 *
 * A list that cannot be read to its end is read again and again, since a watch would bring nothing
 * of what it lacks. The [required] object is then read by itself. A list that had to pass over some
 * names is watched, and read again after a while.
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
    private val known: StateFlow<Long> = MutableStateFlow(0),
    private val required: ObjectKey? = null,
) {
    /** Version up to which the watch has brought the changes. */
    private var version = 0L

    /** Runs until cancelled. */
    public suspend fun run() {
        var failures = 0
        var isCached = startsCached
        while (true) {
            val listed = if (isCached) store.listCached(kind) else store.list(kind)
            isCached = false
            var watchTime = Duration.ZERO
            when (listed) {
                is ListResult.Listed -> watchTime = watchUntilReread(listed)
                is ListResult.Partial -> listener.onPartlyListed(kind, completed(listed))
                is ListResult.Unavailable -> listener.onUnavailable(kind, listed.reason)
            }
            failures = if (watchTime >= MIN_HEALTHY_WATCH) 0 else failures + 1
            delay(backoff.delayAfter(failures))
        }
    }

    /** Adds the [required] object if [listed] does not tell of it. */
    private suspend fun completed(listed: ListResult.Partial): ListResult.Partial {
        val key = required
        if (key == null || key.name !in listed.unread) return listed
        val found = (store.get(key) as? ReadResult.Found)?.value ?: return listed
        return listed.copy(objects = (listed.objects + found).toImmutableList())
    }

    private suspend fun watchUntilReread(listed: ListResult.Listed): Duration =
        if (listed.unread.isEmpty()) {
            watchFrom(listed)
        } else {
            withTimeoutOrNull(REREAD_INTERVAL) { watchFrom(listed) } ?: REREAD_INTERVAL
        }

    /** Returns for how long the watch delivered events. */
    private suspend fun watchFrom(listed: ListResult.Listed): Duration {
        listener.onListed(kind, listed)
        version = listed.version
        val startedAt = clock.now()
        var lastEventAt = startedAt
        val onActivity = { lastEventAt = clock.now() }
        var reason = untilOvertaken { collect(store.watch(kind, version), onActivity) }
        while (reason == null) {
            version = known.value
            listener.onOvertaken(kind, version)
            reason = untilOvertaken { resume(onActivity) }
        }
        listener.onWatchEnded(kind, reason)
        return lastEventAt - startedAt
    }

    /**
     * Watches from [version]; tries again if nothing was heard, since what is left on the link of
     * the watch that was given up delays new connections.
     */
    private suspend fun resume(onActivity: () -> Unit): String {
        var attempts = 0
        while (true) {
            var isHeard = false
            val reason = collect(store.watchAtOnce(kind, version)) {
                isHeard = true
                onActivity()
            }
            if (isHeard || ++attempts == RESUME_ATTEMPTS) return reason
            delay(backoff.delayAfter(attempts))
        }
    }

    /** Passes on the events of [watch]; returns why it ended. */
    private suspend fun collect(watch: Flow<WatchEvent>, onActivity: () -> Unit): String {
        var reason = ""
        var hasChanges = false
        watch
            .takeWhile { event ->
                if (event is WatchEvent.Ended) reason = event.reason
                event !is WatchEvent.Ended
            }
            .collect { event ->
                onActivity()
                // Before the listener, which may tell of the same version.
                if (event is WatchEvent.Put) version = maxOf(version, event.value.version)
                if (event is WatchEvent.Progress) version = maxOf(version, event.version)
                listener.onEvent(kind, event)
                if (event is WatchEvent.Progress && hasChanges) delay(batchingDelay)
                hasChanges = event !is WatchEvent.Progress
            }
        return reason
    }

    /** Returns the result of [watch], or null if [known] is ahead of it before it ends. */
    private suspend fun untilOvertaken(watch: suspend () -> String): String? = coroutineScope {
        val ended = async { watch() }
        val overtaken = async { known.first { it > version } }
        select {
            ended.onAwait { it }
            overtaken.onAwait { null }
        }.also {
            ended.cancel()
            overtaken.cancel()
        }
    }

    private companion object {
        /** A watch that delivered events for this long does not count as a failure. */
        val MIN_HEALTHY_WATCH = 2.seconds

        /** What lists pass over are mostly entries of other writers, which name nothing to use. */
        val REREAD_INTERVAL = 30.seconds

        /** With their timeouts they take about as long as a large object on a slow link. */
        const val RESUME_ATTEMPTS = 3

        /** A fifth of the two seconds in which an edit has to be in force. */
        val BATCHING_DELAY = 400.milliseconds
    }
}

/** Receives the objects and events that a [KindWatcher] reads. */
public interface KindListener {
    /** Called with all objects of the kind. */
    public fun onListed(kind: String, listed: ListResult.Listed)

    /** Called with what could be read of the kind; nothing is watched until a list is complete. */
    public fun onPartlyListed(kind: String, listed: ListResult.Partial): Unit =
        onUnavailable(kind, listed.reason)

    /** Called with a change, or with a notice that nothing has changed. */
    public fun onEvent(kind: String, event: WatchEvent)

    /** Called when a watch of [kind] goes on from [version], which another source has brought. */
    public fun onOvertaken(kind: String, version: Long) {}

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
