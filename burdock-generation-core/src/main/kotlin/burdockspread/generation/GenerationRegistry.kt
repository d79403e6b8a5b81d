/** Open and recently finished generations of one entry host. */
package burdockspread.generation

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.journal.RequestKey
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Finds the generation of a request, so that the same request sent again attaches to it.
 *
 * Thread-safe. Finished answers are kept for [keepFinished] and up to [maxFinishedBytes] in total;
 * the one that finished first is evicted first, and a caller that returns for it then costs a new
 * generation.
 */
public class GenerationRegistry<G : Any>(
    private val keepFinished: Duration,
    private val maxFinishedBytes: Long,
) {
    private val entries = ConcurrentHashMap<RequestKey, Entry<G>>()
    private val finished = ConcurrentLinkedQueue<Finished<G>>()
    private val finishedBytes = AtomicLong()

    /** Number of open and kept generations. */
    public val size: Int get() = entries.size

    /** Memory of the kept finished answers in bytes. */
    public val keptBytes: Long get() = finishedBytes.get()

    /** Attaches to the generation of [key], or registers the one that [create] returns. */
    public fun open(key: RequestKey, body: BodyFingerprint, create: () -> G): OpenResult<G> {
        var created = false
        val entry = entries.computeIfAbsent(key) {
            created = true
            Entry(body, create())
        }
        return when {
            created -> OpenResult.Started(entry.generation)
            entry.body == body -> OpenResult.Attached(entry.generation)
            else -> OpenResult.Refused(
                Refusal(
                    ErrorCode.REQUEST_ID_REUSED,
                    "request id ${key.request} is in use by a request with a different body",
                ),
            )
        }
    }

    /** Returns the generation of [key], open or kept. */
    public fun find(key: RequestKey): G? = entries[key]?.generation

    /**
     * Replaces [replaced] by an explicit restart. Returns false if another one is registered
     * already.
     */
    public fun restart(key: RequestKey, replaced: G, replacement: G): Boolean {
        val entry = entries[key] ?: return false
        return entry.generation === replaced &&
            entries.replace(key, entry, Entry(entry.body, replacement))
    }

    /** Keeps the finished [generation], which takes [bytes] of memory. */
    public fun finish(key: RequestKey, generation: G, bytes: Long, now: Instant) {
        finishedBytes.addAndGet(bytes)
        finished.add(Finished(key, generation, bytes, now + keepFinished))
        expire(now)
    }

    /** Removes a [generation] that failed: the same request may start again. */
    public fun remove(key: RequestKey, generation: G) {
        val entry = entries[key] ?: return
        if (entry.generation === generation) entries.remove(key, entry)
    }

    /** Evicts finished answers that are too old or exceed the memory limit. */
    public fun expire(now: Instant) {
        while (true) {
            val oldest = finished.peek() ?: return
            if (oldest.expiry > now && finishedBytes.get() <= maxFinishedBytes) return
            if (!finished.remove(oldest)) continue
            finishedBytes.addAndGet(-oldest.bytes)
            remove(oldest.key, oldest.generation)
        }
    }

    private class Entry<G>(val body: BodyFingerprint, val generation: G)

    private class Finished<G>(
        val key: RequestKey,
        val generation: G,
        val bytes: Long,
        val expiry: Instant,
    )
}

/** Result of [GenerationRegistry.open]. */
public sealed interface OpenResult<out G> {
    /** The request is new and has this generation. */
    public data class Started<G>(public val generation: G) : OpenResult<G>

    /** The request was sent before; its generation gets another reader. */
    public data class Attached<G>(public val generation: G) : OpenResult<G>

    /** The id is in use for another request. */
    public data class Refused(public val refusal: Refusal) : OpenResult<Nothing>
}
