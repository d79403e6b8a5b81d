/** Comparison of a new version of a service with the old one. */
package burdockspread.forward.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/** What the responses so far say of the new version. */
public enum class VersionVerdict {
    /** Too few responses, or doubtful ones. */
    OPEN,

    /** Nothing speaks against it. */
    GOOD,

    /** It fails or is slow far more often than the old version at the same time. */
    BAD,
}

/**
 * Judges a version by the share of its responses that are failures or much too slow, against the
 * share of the old version at the same time: a burst or an outage meets both. A version may be bad
 * for the requests of one route only, so each route counts by itself too.
 *
 * The probability that a version as good as the old one has so many bad responses is that of a
 * binomial distribution. A judgement is made at each response, so the bound for BAD is far smaller
 * than the usual one for a single test.
 */
public object VersionJudge {
    /** Returns what [tally] says; [minResponses] are needed to call the new version good. */
    public fun judge(tally: VersionTally, minResponses: Int): VersionVerdict {
        val groups = tally.routes.values + tally.total
        val isBad = groups.any { it.new.bad >= MIN_BAD && chance(it) < BAD_CHANCE }
        return when {
            isBad -> VersionVerdict.BAD
            tally.total.new.responses < minResponses -> VersionVerdict.OPEN
            groups.any { chance(it) < DOUBTFUL_CHANCE } -> VersionVerdict.OPEN
            tally.routes.values.any { it.isUntried(minResponses) } -> VersionVerdict.OPEN
            else -> VersionVerdict.GOOD
        }
    }

    /** Whether the requests of a route that the old version serves regularly were hardly tried. */
    private fun RouteTally.isUntried(minResponses: Int) =
        old.responses >= REGULAR_RESPONSES && new.responses < minResponses * ROUTE_FRACTION

    /** Returns how probable so many bad responses are if the new version is as good as the old. */
    private fun chance(tally: RouteTally): Double {
        val usual = (tally.old.bad + 1.0) / (tally.old.responses + 1.0 / PRIOR_BAD)
        return binomialTail(tally.new.responses, tally.new.bad, max(usual, PRIOR_BAD))
    }

    /** Returns the probability of [successes] or more in [trials] of probability [p] each. */
    private fun binomialTail(trials: Int, successes: Int, p: Double): Double {
        if (p >= 1.0) return 1.0
        var logTerm = trials * ln(1 - p)
        var below = 0.0
        for (k in 0 until successes) {
            below += exp(logTerm)
            logTerm += ln((trials - k).toDouble() / (k + 1)) + ln(p / (1 - p))
        }
        return (1.0 - below).coerceAtLeast(0.0)
    }

    /** Share of bad responses that is assumed of a version of which little is known. */
    private const val PRIOR_BAD = 0.03

    /** One bad response, or two, may come of a single target or caller. */
    private const val MIN_BAD = 3

    /** Bound below which a version is bad: a false verdict in some hundreds of rollouts. */
    private const val BAD_CHANCE = 0.000_3

    /** Bound below which a version is not called good yet. */
    private const val DOUBTFUL_CHANCE = 0.05

    /** Responses of the old version from which on a route's requests have to be tried as well. */
    private const val REGULAR_RESPONSES = 15

    /**
     * Part of the responses that each route needs: eight of twelve. A version that fails 60 % of a
     * route's requests fails one or none of eight in 1 of 100 cases.
     */
    private const val ROUTE_FRACTION = 0.66
}
