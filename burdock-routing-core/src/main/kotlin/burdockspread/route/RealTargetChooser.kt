/** Selects targets by sampling candidates and comparing their expected time to first token. */
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
    private val remoteMarginSeconds = options.remoteMargin.inWholeMilliseconds / MILLIS_PER_SECOND
    private val prefixHalfLife = options.prefixHalfLife.inWholeMilliseconds.toDouble()

    override fun choose(
        request: RouteRequest,
        pool: TargetPool,
        now: Instant,
    ): Either<Refusal, Choice> {
        val search = Search(request, pool, now.toEpochMilliseconds())
        search.considerPrefixHolders()
        search.considerSamples(pool.inDomain(ownDomain, request.adapter), options.localSamples)
        val remote = if (search.isBestDelayed()) options.localSamples else options.remoteSamples
        search.considerSamples(pool.inAnyDomain(request.adapter), remote)
        if (search.best == null) search.considerAll()
        return search.choice()?.right() ?: NO_TARGET.left()
    }

    override fun onSent(request: RouteRequest, choice: Choice, now: Instant): InFlightRequest {
        val millis = now.toEpochMilliseconds()
        val state = registry.find(choice.target.id) ?: TargetState(choice.target.id, 0, options)
        val pending = maxOf(request.promptTokens - choice.estimate.cachedTokens, 0)
        state.onSent(pending, millis)
        val blocks = request.blocks
        for (index in 0 until blocks.size) prefixes.put(blocks[index], state.index, millis)
        val prefill = choice.estimate.prefill + choice.estimate.adapterLoad
        val cached = choice.estimate.cachedTokens
        return RealInFlightRequest(
            state,
            options,
            pending,
            cached,
            millis,
            prefill.inWholeMilliseconds,
        )
    }

    override fun onReport(report: LoadReport) {
        val state = registry.find(report.target) ?: return
        state.report.updateAndGet { previous ->
            if (previous == null || report.reportedAt > previous.reportedAt) report else previous
        }
        val slots = maxOf(state.batchSlots, 1)
        state.poolLoad.add(estimator.loadPerSlot(report, slots))
    }

    override fun onCacheEvent(event: CacheEvent, now: Instant) {
        val state = registry.find(event.target) ?: return
        val millis = now.toEpochMilliseconds()
        val previous = state.cacheSequence.getAndSet(event.sequence)
        val gap = previous != TargetState.NO_SEQUENCE && event.sequence != previous + 1
        if (gap) state.cacheEventGapMillis.set(millis)
        when (event) {
            is CacheEvent.Stored -> event.prefixes.forEach { prefixes.put(it, state.index, millis) }
            is CacheEvent.Removed -> event.prefixes.forEach { prefixes.remove(it, state.index) }
            is CacheEvent.Cleared -> state.cacheClearedMillis.set(millis)
        }
    }

    override fun setWeight(target: TargetId, weight: Double) {
        registry.find(target)?.weight?.set(weight.coerceIn(0.0, 1.0))
    }

    /** State of one target selection; confined to one thread. */
    private inner class Search(
        private val request: RouteRequest,
        private val pool: TargetPool,
        private val nowMillis: Long,
    ) {
        var best: PoolMember? = null
        private var bestScore = Double.MAX_VALUE
        private var bestCached = 0.0

        /** Considers the targets that cache the longest prefixes of the prompt. */
        fun considerPrefixHolders() {
            val blocks = request.blocks
            var found = 0
            var depth = blocks.size - 1
            while (depth >= 0 && found < options.prefixCandidates) {
                val tokens = (depth + 1) * blocks.tokensPerBlock
                prefixes.forEach(blocks[depth]) { target, recorded ->
                    val member = pool.byIndex(target)
                    if (member != null) {
                        found++
                        consider(member, tokens * confidence(member.state, recorded))
                    }
                }
                depth--
            }
        }

        /** Considers [count] random members of [group] that may take the request. */
        fun considerSamples(group: PoolGroup, count: Int) {
            if (group.size == 0) return
            var left = count
            var draws = count * DRAWS_PER_SAMPLE
            while (left > 0 && draws-- > 0) {
                val member = pool.members[group[random.nextInt(group.size)]]
                if (random.nextDouble() < member.state.weight.get() && consider(member, 0.0)) left--
            }
        }

        /** Returns whether an idle target of another domain could beat the best one so far. */
        fun isBestDelayed(): Boolean = bestScore > remoteMarginSeconds

        /** Considers every member once; only called if no sample could take the request. */
        fun considerAll() {
            pool.members.forEach { consider(it, 0.0) }
        }

        fun choice(): Choice? {
            val member = best ?: return null
            val load = estimator.expectedLoad(member, pool.load, request.priorityLevel, nowMillis)
            val estimate = estimator.estimate(
                estimator.queueSeconds(member, load),
                estimator.prefillSeconds(member, request.promptTokens, bestCached),
                estimator.adapterLoadSeconds(member, request.adapter),
                bestCached,
            )
            return Choice(member.spec, estimate)
        }

        private fun consider(member: PoolMember, cached: Double): Boolean {
            if (!isEligible(member)) return false
            val score = score(member, cached)
            if (score < bestScore) {
                best = member
                bestScore = score
                bestCached = cached
            }
            return true
        }

        private fun isEligible(member: PoolMember): Boolean {
            val spec = member.spec
            return member.state.weight.get() > 0 &&
                (request.version.isEmpty() || spec.version == request.version) &&
                (request.excludedTargets.isEmpty() || spec.id !in request.excludedTargets) &&
                !member.state.isBackingOff(nowMillis)
        }

        /**
         * Returns the expected seconds to the first token plus a penalty for a full batch. The load
         * is jittered by its uncertainty so that hosts with the same outdated reports do not all
         * select the same target.
         */
        private fun score(member: PoolMember, cached: Double): Double {
            val expected =
                estimator.expectedLoad(member, pool.load, request.priorityLevel, nowMillis)
            val error = estimator.uncertainty(member, pool.load, nowMillis)
            val load =
                maxOf(expected + error * options.loadJitter * (random.nextDouble() - HALF), 0.0)
            val seconds = estimator.queueSeconds(member, load) +
                estimator.prefillSeconds(member, request.promptTokens, cached) +
                estimator.adapterLoadSeconds(member, request.adapter)
            val margin = if (member.spec.failureDomain == ownDomain) 0.0 else remoteMarginSeconds
            val batchPenalty = load / member.spec.batchSlots * FULL_BATCH_PENALTY_SECONDS
            return (seconds + batchPenalty) / member.state.weight.get() + margin
        }

        private fun confidence(state: TargetState, recorded: Long): Double {
            val age = prefixes.age(recorded, nowMillis)
            val recordedMillis = nowMillis - age
            if (recordedMillis < state.cacheClearedMillis.get()) return 0.0
            val gap = if (recordedMillis < state.cacheEventGapMillis.get()) GAP_CONFIDENCE else 1.0
            return HALF.pow(age / prefixHalfLife) * gap * state.cacheAccuracy.get()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val HALF = 0.5
        const val GAP_CONFIDENCE = 0.5
        const val DRAWS_PER_SAMPLE = 4

        /** Penalty of a full batch over an empty one: a fuller batch generates tokens slower. */
        const val FULL_BATCH_PENALTY_SECONDS = 0.1

        val NO_TARGET = Refusal(ErrorCode.NO_TARGET, "no target of the pool may take the request")
    }
}
