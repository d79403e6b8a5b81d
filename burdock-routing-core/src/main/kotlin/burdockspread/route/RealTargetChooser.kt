/** Target choice by sampling and comparison of expected times to the first token. */
package burdockspread.route

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.FailureDomainId
import burdockspread.id.TargetId
import kotlin.math.pow
import kotlin.time.Instant

internal class RealTargetChooser(
    private val ownDomain: FailureDomainId,
    private val registry: TargetRegistry,
    private val random: SeededRandom,
    private val options: RouteOptions,
) : TargetChooser {
    private val prefixes = PrefixIndex(options.prefixEntries)
    private val estimator = FirstTokenEstimator(options)
    private val remoteSeconds = options.remoteMargin.inWholeMilliseconds / MILLIS
    private val prefixHalfLife = options.prefixHalfLife.inWholeMilliseconds.toDouble()

    override fun choose(
        request: RouteRequest,
        pool: TargetPool,
        now: Instant,
    ): Either<Refusal, Choice> {
        val search = Search(request, pool, now.toEpochMilliseconds())
        search.offerPrefixHolders()
        search.offerSamples(pool.local(ownDomain, request.adapter), options.localSamples)
        val remote = if (search.waits()) options.localSamples else options.remoteSamples
        search.offerSamples(pool.anywhere(request.adapter), remote)
        if (search.best == null) search.offerAll()
        return search.choice()?.right() ?: NO_TARGET.left()
    }

    override fun onSent(request: RouteRequest, choice: Choice, now: Instant): InFlightRequest {
        val millis = now.toEpochMilliseconds()
        val live = registry.find(choice.target.id) ?: LiveTarget(choice.target.id, 0, options)
        val pending = maxOf(request.promptTokens - choice.estimate.cachedTokens, 0)
        live.sent(pending, millis)
        val blocks = request.blocks
        for (index in 0 until blocks.size) prefixes.put(blocks[index], live.index, millis)
        val prefill = choice.estimate.prefill + choice.estimate.adapterLoad
        val cached = choice.estimate.cachedTokens
        return RealInFlightRequest(
            live,
            options,
            pending,
            cached,
            millis,
            prefill.inWholeMilliseconds,
        )
    }

    override fun onReport(report: LoadReport) {
        val live = registry.find(report.target) ?: return
        live.report.updateAndGet { last ->
            if (last == null || report.reportedAt > last.reportedAt) report else last
        }
        val slots = maxOf(live.batchSlots, 1)
        live.poolLoad.add(estimator.slotLoad(report, slots))
    }

    override fun onCacheEvent(event: CacheEvent, now: Instant) {
        val live = registry.find(event.target) ?: return
        val millis = now.toEpochMilliseconds()
        val last = live.cacheSequence.getAndSet(event.sequence)
        val gap = last != LiveTarget.NO_SEQUENCE && event.sequence != last + 1
        if (gap) live.cacheGapMillis.set(millis)
        when (event) {
            is CacheEvent.Stored -> event.prefixes.forEach { prefixes.put(it, live.index, millis) }
            is CacheEvent.Removed -> event.prefixes.forEach { prefixes.remove(it, live.index) }
            is CacheEvent.Cleared -> live.cacheClearedMillis.set(millis)
        }
    }

    override fun setWeight(target: TargetId, weight: Double) {
        registry.find(target)?.weight?.set(weight.coerceIn(0.0, 1.0))
    }

    /** State of one choice; never shared. */
    private inner class Search(
        private val request: RouteRequest,
        private val pool: TargetPool,
        private val nowMillis: Long,
    ) {
        var best: Member? = null
        private var bestScore = Double.MAX_VALUE
        private var bestCached = 0.0

        /** Offers targets that hold the longest prefixes of the prompt. */
        fun offerPrefixHolders() {
            val blocks = request.blocks
            var found = 0
            var depth = blocks.size - 1
            while (depth >= 0 && found < options.prefixCandidates) {
                val tokens = (depth + 1) * blocks.tokensPerBlock
                prefixes.forEach(blocks[depth]) { target, recorded ->
                    val member = pool.byIndex(target)
                    if (member != null) {
                        found++
                        offer(member, tokens * confidence(member.live, recorded))
                    }
                }
                depth--
            }
        }

        /** Offers [count] random members of [group] that may take the request. */
        fun offerSamples(group: PoolGroup, count: Int) {
            if (group.size == 0) return
            var left = count
            var tries = count * TRIES_PER_SAMPLE
            while (left > 0 && tries-- > 0) {
                val member = pool.members[group[random.nextInt(group.size)]]
                if (random.nextDouble() < member.live.weight.get() && offer(member, 0.0)) left--
            }
        }

        /** Whether the best candidate so far is worse than a free one elsewhere might be. */
        fun waits(): Boolean = bestScore > remoteSeconds

        /** Offers every member once; only reached when no sample could take the request. */
        fun offerAll() {
            pool.members.forEach { offer(it, 0.0) }
        }

        fun choice(): Choice? {
            val member = best ?: return null
            val load = estimator.load(member, pool.load, request.priorityLevel, nowMillis)
            val estimate = estimator.estimate(
                estimator.queueSeconds(member, load),
                estimator.prefillSeconds(member, request.promptTokens, bestCached),
                estimator.loadSeconds(member, request.adapter),
                bestCached,
            )
            return Choice(member.spec, estimate)
        }

        private fun offer(member: Member, cached: Double): Boolean {
            if (!eligible(member)) return false
            val score = score(member, cached)
            if (score < bestScore) {
                best = member
                bestScore = score
                bestCached = cached
            }
            return true
        }

        private fun eligible(member: Member): Boolean {
            val spec = member.spec
            return member.live.weight.get() > 0 &&
                (request.version.isEmpty() || spec.version == request.version) &&
                (request.excludedTargets.isEmpty() || spec.id !in request.excludedTargets) &&
                !member.live.paused(nowMillis)
        }

        /**
         * Seconds to the first token, and a part for a full batch. The load is drawn from its
         * uncertainty, so that hosts with the same old reports do not all choose the same target.
         */
        private fun score(member: Member, cached: Double): Double {
            val expected = estimator.load(member, pool.load, request.priorityLevel, nowMillis)
            val error = estimator.uncertainty(member, pool.load, nowMillis)
            val load =
                maxOf(expected + error * options.loadJitter * (random.nextDouble() - HALF), 0.0)
            val seconds = estimator.queueSeconds(member, load) +
                estimator.prefillSeconds(member, request.promptTokens, cached) +
                estimator.loadSeconds(member, request.adapter)
            val margin = if (member.spec.failureDomain == ownDomain) 0.0 else remoteSeconds
            val busy = load / member.spec.batchSlots * BUSY_SECONDS
            return (seconds + busy) / member.live.weight.get() + margin
        }

        private fun confidence(live: LiveTarget, recorded: Long): Double {
            val age = prefixes.age(recorded, nowMillis)
            val recordedMillis = nowMillis - age
            if (recordedMillis < live.cacheClearedMillis.get()) return 0.0
            val gap = if (recordedMillis < live.cacheGapMillis.get()) GAP_CONFIDENCE else 1.0
            return HALF.pow(age / prefixHalfLife) * gap * live.cacheTrust.get()
        }
    }

    private companion object {
        const val MILLIS = 1_000.0
        const val HALF = 0.5
        const val GAP_CONFIDENCE = 0.5
        const val TRIES_PER_SAMPLE = 4

        /** Score of a full batch against an empty one: a fuller batch gives slower tokens. */
        const val BUSY_SECONDS = 0.1

        val NO_TARGET = Refusal(ErrorCode.NO_TARGET, "no target of the pool may take the request")
    }
}
