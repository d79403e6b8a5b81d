/** A small stand-in for an engine that batches and caches prompt prefixes. */
package burdockspread.bench.routing

import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import burdockspread.route.LoadReport
import kotlinx.collections.immutable.persistentListOf

/** What happens to a request at an engine. */
internal interface EngineListener {
    fun onFirstToken(cachedTokens: Int)

    fun onDone()

    fun onBroken()
}

/** Runs [slots] generations at a time, works through prompts one by one, queues the rest. */
internal class BatchingEngine(
    private val simulation: Simulation,
    val id: TargetId,
    val domain: FailureDomainId,
    val slots: Int = 16,
) {
    private val queue = ArrayDeque<Job>()
    private val cache = LruBlocks(CACHE_BLOCKS)
    private var promptsFreeAt = 0.0
    private var epoch = 0
    var running = 0
        private set
    var broken = false
        private set

    val load: Int get() = running + queue.size

    fun submit(request: SimRequest, listener: EngineListener): Job {
        val job = Job(request, listener, epoch)
        if (broken) {
            simulation.after(BREAK_SECONDS) { listener.onBroken() }
        } else {
            queue += job
            startNext()
        }
        return job
    }

    /** Cancels a request; one that waits leaves the queue, one that runs ends. */
    fun cancel(job: Job) {
        if (job.ended) return
        job.ended = true
        if (!queue.remove(job) && job.started && job.epoch == epoch) free()
    }

    /** Breaks all requests and refuses new ones until [repair]. */
    fun fail() {
        broken = true
        epoch++
        running = 0
        queue.clear()
        cache.clear()
    }

    fun repair() {
        broken = false
        promptsFreeAt = simulation.seconds
    }

    fun report(): LoadReport = LoadReport(
        target = id,
        reportedAt = simulation.now,
        running = running,
        queuedByLevel = persistentListOf(queue.size),
        waitingPromptTokens = queue.sumOf { it.request.promptTokens },
        promptTokensPerSecond = PROMPT_RATE,
    )

    fun takeCacheChanges(): CacheChanges = cache.takeChanges()

    private fun startNext() {
        while (running < slots) {
            val job = queue.removeFirstOrNull() ?: return
            start(job)
        }
    }

    private fun start(job: Job) {
        running++
        job.started = true
        val cached = cache.use(job.request) * job.request.prompt.tokensPerBlock
        val prefill = (job.request.promptTokens - cached) / PROMPT_RATE
        promptsFreeAt = maxOf(promptsFreeAt, simulation.seconds) + prefill
        simulation.after(promptsFreeAt - simulation.seconds + stepSeconds()) {
            if (live(job)) {
                job.listener.onFirstToken(cached)
                val decode = (job.request.outputTokens - 1) * stepSeconds()
                simulation.after(decode) { finish(job) }
            } else {
                breakOff(job)
            }
        }
    }

    private fun finish(job: Job) {
        if (!live(job)) {
            breakOff(job)
            return
        }
        job.ended = true
        job.listener.onDone()
        free()
    }

    private fun breakOff(job: Job) {
        if (!job.ended) job.listener.onBroken()
        job.ended = true
    }

    private fun free() {
        running--
        startNext()
    }

    private fun live(job: Job): Boolean = !job.ended && job.epoch == epoch

    /** Seconds for each token: a fuller batch is slower. */
    fun stepSeconds(): Double = STEP_BASE + STEP_PER_REQUEST * running

    class Job(val request: SimRequest, val listener: EngineListener, val epoch: Int) {
        var started = false
        var ended = false
    }

    companion object {
        const val PROMPT_RATE = 20_000.0
        const val STEP_BASE = 0.020
        const val STEP_PER_REQUEST = 0.001
        const val CACHE_BLOCKS = 1_500
        const val BREAK_SECONDS = 0.05
    }
}

/** Blocks of the prefixes that were used last. */
internal class LruBlocks(private val bound: Int) {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val stored = LinkedHashSet<Long>()
    private val removed = LinkedHashSet<Long>()

    /** Number of leading blocks that were held; all are held afterwards. */
    fun use(request: SimRequest): Int {
        var held = 0
        while (held < request.prompt.size && request.prompt[held] in blocks) held++
        for (index in 0 until request.prompt.size) store(request.prompt[index])
        return held
    }

    /** Changes since the last call, for cache events. */
    fun takeChanges(): CacheChanges {
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
        if (blocks.size <= bound) return
        val eldest = blocks.keys.first()
        blocks -= eldest
        removed += eldest
        stored -= eldest
    }
}

/** Blocks that were added and dropped. */
internal class CacheChanges(val stored: List<Long>, val removed: List<Long>)
