/** Loss of half a pool, with and without a retry budget. */
package burdockspread.bench.routing

import burdockspread.retry.RetryBudget

/** Figures of one run. */
internal data class RetryResult(
    /** Attempts for each request while half of the engines are down. */
    val attemptsPerRequest: Double,
    /** Part of the requests in the outage whose first token came in time. */
    val goodInOutage: Double,
    /** Seconds after the repair until 95 in 100 requests are in time again. */
    val recoverySeconds: Double,
)

internal class RetryTrial(budgeted: Boolean, seed: Long = RoutingTrial.SEED) {
    private val simulation = Simulation()
    private val workload = Workload(seed)
    private val fleet = Fleet(
        simulation,
        { host, engines, time -> ChooserPolicy(host, engines, time, prefixes = false) },
        REPORT_DELAY,
    )
    private val budgets = List(Fleet.HOSTS) { if (budgeted) RetryBudget() else Unbudgeted }
    private var nextAttempt = 0
    private val seconds = List((END + 1).toInt()) { Second() }

    fun run(): RetryResult {
        arrive()
        val half = fleet.engines.take(Fleet.ENGINES / 2)
        simulation.after(OUTAGE) { half.forEach { it.fail() } }
        simulation.after(REPAIR) { half.forEach { it.repair() } }
        simulation.runUntil(END)
        val outage = seconds.subList(OUTAGE.toInt(), REPAIR.toInt())
        val requests = outage.sumOf { it.requests }.toDouble()
        return RetryResult(
            outage.sumOf { it.attempts } / requests,
            outage.sumOf { it.inTime } / requests,
            recovery(),
        )
    }

    private fun recovery(): Double {
        val after = seconds.subList(REPAIR.toInt(), (END - MARGIN).toInt())
        val lastBad = after.indexOfLast { it.inTime < it.requests * GOOD_PART }
        return lastBad + 1.0
    }

    private fun arrive() {
        simulation.after(workload.gap(Fleet.CAPACITY * LOAD)) {
            val request = workload.next()
            val second = seconds[simulation.seconds.toInt()]
            second.requests++
            val host = request.id % Fleet.HOSTS
            budgets[host].onFirstAttempt()
            Try(request, host, simulation.seconds, second).send()
            arrive()
        }
    }

    /** One request with its attempts; the next one starts when an attempt breaks or is late. */
    private inner class Try(
        private val request: SimRequest,
        private val host: Int,
        private val at: Double,
        private val second: Second,
    ) {
        private var attempts = 0

        fun send() {
            attempts++
            seconds[simulation.seconds.toInt()].attempts++
            val policy = fleet.hosts[host]
            val copy = request.copy(id = nextAttempt++)
            val index = policy.choose(copy)
            policy.onSent(copy, index)
            val attempt = Attempt(copy, index)
            val job = fleet.engines[index].submit(copy, attempt)
            simulation.after(ATTEMPT_TIMEOUT) {
                if (attempt.open) {
                    attempt.open = false
                    simulation.after(CANCEL_SECONDS) { attempt.cancel(job) }
                    retry()
                }
            }
        }

        private fun retry() {
            if (attempts < MAX_ATTEMPTS && budgets[host].tryAcquire()) send()
        }

        private inner class Attempt(private val copy: SimRequest, private val index: Int) :
            EngineListener {
            private val policy = fleet.hosts[host]
            var open = true

            override fun onFirstToken(cachedTokens: Int) {
                policy.onFirstToken(copy, cachedTokens)
                if (open && simulation.seconds - at <= IN_TIME) second.inTime++
                open = false
            }

            override fun onDone() = policy.onEnded(copy, index, broken = false)

            override fun onBroken() {
                policy.onEnded(copy, index, broken = true)
                if (!open) return
                open = false
                retry()
            }

            fun cancel(job: BatchingEngine.Job) {
                if (job.ended) return
                fleet.engines[index].cancel(job)
                policy.onEnded(copy, index, broken = false)
            }
        }
    }

    private class Second {
        var requests = 0
        var attempts = 0
        var inTime = 0
    }

    private object Unbudgeted : RetryBudget {
        override fun onFirstAttempt() = Unit

        override fun tryAcquire(): Boolean = true
    }

    companion object {
        private const val LOAD = 0.7
        private const val REPORT_DELAY = 1.0
        private const val OUTAGE = 30.0
        private const val REPAIR = 60.0
        private const val END = 150.0
        private const val MARGIN = 10.0
        private const val GOOD_PART = 0.95
        private const val ATTEMPT_TIMEOUT = 1.5
        private const val IN_TIME = 4.0
        private const val CANCEL_SECONDS = 2.0
        private const val MAX_ATTEMPTS = 6
    }
}
