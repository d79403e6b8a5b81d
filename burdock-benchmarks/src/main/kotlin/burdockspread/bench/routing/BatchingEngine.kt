/** Simulated engine with continuous batching and a prefix cache. */
package burdockspread.bench.routing

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import burdockspread.route.LoadReport
import kotlinx.collections.immutable.persistentListOf

/** Callbacks for the progress of a request at an engine. */
internal interface EngineListener {
    fun onFirstToken(cachedTokens: Int)

    fun onDone()

    fun onBroken()
}

/** Runs up to [slots] generations, prefills prompts sequentially and queues other requests. */
internal class BatchingEngine(
    private val simulation: Simulation,
    val id: TargetId,
    val domain: FailureDomainId,
    val slots: Int = 16,
) {
    private val queue = ArrayDeque<Job>()
    private val cache = LruBlocks(CACHE_BLOCKS)
    private var prefillIdleAt = 0.0
    private var incarnation = 0
    var running = 0
        private set
    var broken = false
        private set

    val load: Int get() = running + queue.size

    fun submit(request: SimRequest, listener: EngineListener): Job {
        val job = Job(request, listener, incarnation)
        if (broken) {
            simulation.after(CONNECT_FAILURE_SECONDS) { listener.onBroken() }
        } else {
            queue += job
            startNext()
        }
        return job
    }

    /** Cancels a queued or running request. */
    fun cancel(job: Job) {
        if (job.ended) return
        job.ended = true
        if (!queue.remove(job) && job.started && job.incarnation == incarnation) releaseSlot()
    }

    /** Breaks all requests and refuses new ones until [repair]. */
    fun fail() {
        broken = true
        incarnation++
        running = 0
        queue.clear()
        cache.clear()
    }

    fun repair() {
        broken = false
        prefillIdleAt = simulation.seconds
    }

    fun report(): LoadReport = LoadReport(
        target = id,
        reportedAt = simulation.now,
        running = running,
        queuedByLevel = persistentListOf(queue.size),
        waitingPromptTokens = queue.sumOf { it.request.promptTokens },
        promptTokensPerSecond = PROMPT_TOKENS_PER_SECOND,
    )

    fun drainCacheChanges(): CacheChanges = cache.drainChanges()

    private fun startNext() {
        while (running < slots) {
            val job = queue.removeFirstOrNull() ?: return
            start(job)
        }
    }

    private fun start(job: Job) {
        running++
        job.started = true
        val cached = cache.access(job.request) * job.request.prompt.tokensPerBlock
        val prefill = (job.request.promptTokens - cached) / PROMPT_TOKENS_PER_SECOND
        prefillIdleAt = maxOf(prefillIdleAt, simulation.seconds) + prefill
        simulation.after(prefillIdleAt - simulation.seconds + stepSeconds()) {
            if (isActive(job)) {
                job.listener.onFirstToken(cached)
                val decode = (job.request.outputTokens - 1) * stepSeconds()
                simulation.after(decode) { finish(job) }
            } else {
                reportBroken(job)
            }
        }
    }

    private fun finish(job: Job) {
        if (!isActive(job)) {
            reportBroken(job)
            return
        }
        job.ended = true
        job.listener.onDone()
        releaseSlot()
    }

    private fun reportBroken(job: Job) {
        if (!job.ended) job.listener.onBroken()
        job.ended = true
    }

    private fun releaseSlot() {
        running--
        startNext()
    }

    private fun isActive(job: Job): Boolean = !job.ended && job.incarnation == incarnation

    /** Returns the seconds per token, which grow with the batch size. */
    fun stepSeconds(): Double = BASE_STEP_SECONDS + STEP_SECONDS_PER_REQUEST * running

    class Job(val request: SimRequest, val listener: EngineListener, val incarnation: Int) {
        var started = false
        var ended = false
    }

    companion object {
        const val PROMPT_TOKENS_PER_SECOND = 20_000.0
        const val BASE_STEP_SECONDS = 0.020
        const val STEP_SECONDS_PER_REQUEST = 0.001
        const val CACHE_BLOCKS = 1_500
        const val CONNECT_FAILURE_SECONDS = 0.05
    }
}

/** Least-recently-used cache of prefix blocks. */
internal class LruBlocks(private val capacity: Int) {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val stored = LinkedHashSet<Long>()
    private val removed = LinkedHashSet<Long>()

    /** Returns the number of leading blocks that were cached, and caches all blocks. */
    fun access(request: SimRequest): Int {
        var hits = 0
        while (hits < request.prompt.size && request.prompt[hits] in blocks) hits++
        for (index in 0 until request.prompt.size) store(request.prompt[index])
        return hits
    }

    /** Returns the changes since the last call, for cache events. */
    fun drainChanges(): CacheChanges {
        val changes = CacheChanges(stored.toList(), removed.toList())
        stored.clear()
        removed.clear()
        return changes
    }

    fun clear() {
        blocks.clear()
        stored.clear()
        removed.clear()
    }

    private fun store(block: Long) {
        if (blocks.put(block, Unit) != null) return
        stored += block
        removed -= block
        if (blocks.size <= capacity) return
        val eldest = blocks.keys.first()
        blocks -= eldest
        removed += eldest
        stored -= eldest
    }
}

/** Blocks that were added to and evicted from a cache. */
internal class CacheChanges(val stored: List<Long>, val removed: List<Long>)
