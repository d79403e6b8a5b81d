/** Simulates the failure of half a pool, with and without a retry budget. */
package burdockspread.bench.routing

import burdockspread.retry.RetryBudget

/** Results of one run. */
internal data class RetryResult(
    /** Attempts per request while half of the engines are down. */
    val attemptsPerRequest: Double,
    /** Fraction of requests during the outage whose first token arrived in time. */
    val goodputInOutage: Double,
    /** Seconds from the repair until 95% of requests get their first token in time again. */
    val recoverySeconds: Double,
)

internal class RetryTrial(budgeted: Boolean, seed: Long = RoutingTrial.SEED) {
    private val simulation = Simulation()
    private val workload = Workload(seed)
    private val fleet = Fleet(
        simulation,
        { host, engines, time -> ChooserPolicy(host, engines, time, prefixAware = false) },
        REPORT_DELAY_SECONDS,
    )
    private val budgets = List(Fleet.HOSTS) { if (budgeted) RetryBudget() else UnlimitedBudget }
    private var nextAttempt = 0
    private val seconds = List((END_SECONDS + 1).toInt()) { SecondCounts() }

    fun run(): RetryResult {
        scheduleArrival()
        val half = fleet.engines.take(Fleet.ENGINES / 2)
        simulation.after(OUTAGE_START_SECONDS) { half.forEach { it.fail() } }
        simulation.after(REPAIR_SECONDS) { half.forEach { it.repair() } }
        simulation.runUntil(END_SECONDS)
        val outage = seconds.subList(OUTAGE_START_SECONDS.toInt(), REPAIR_SECONDS.toInt())
        val requests = outage.sumOf { it.requests }.toDouble()
        return RetryResult(
            outage.sumOf { it.attempts } / requests,
            outage.sumOf { it.inTime } / requests,
            recovery(),
        )
    }

    private fun recovery(): Double {
        val after = seconds.subList(REPAIR_SECONDS.toInt(), (END_SECONDS - MARGIN_SECONDS).toInt())
        val lastBad = after.indexOfLast { it.inTime < it.requests * RECOVERED_RATIO }
        return lastBad + 1.0
    }

    private fun scheduleArrival() {
        simulation.after(workload.interarrivalSeconds(Fleet.CAPACITY_PER_SECOND * LOAD_FACTOR)) {
            val request = workload.next()
            val bucket = seconds[simulation.seconds.toInt()]
            bucket.requests++
            val host = request.id % Fleet.HOSTS
            budgets[host].onFirstAttempt()
            RequestAttempts(request, host, simulation.seconds, bucket).send()
            scheduleArrival()
        }
    }

    /** A request that is retried when an attempt breaks or times out. */
    private inner class RequestAttempts(
        private val request: SimRequest,
        private val host: Int,
        private val arrivedAt: Double,
        private val bucket: SecondCounts,
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
            simulation.after(ATTEMPT_TIMEOUT_SECONDS) {
                if (attempt.open) {
                    attempt.open = false
                    simulation.after(CANCEL_DELAY_SECONDS) { attempt.cancel(job) }
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
                if (open && simulation.seconds - arrivedAt <= IN_TIME_SECONDS) bucket.inTime++
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

    private class SecondCounts {
        var requests = 0
        var attempts = 0
        var inTime = 0
    }

    private object UnlimitedBudget : RetryBudget {
        override fun onFirstAttempt() = Unit

        override fun tryAcquire(): Boolean = true

        override fun release() = Unit
    }

    companion object {
        private const val LOAD_FACTOR = 0.7
        private const val REPORT_DELAY_SECONDS = 1.0
        private const val OUTAGE_START_SECONDS = 30.0
        private const val REPAIR_SECONDS = 60.0
        private const val END_SECONDS = 150.0
        private const val MARGIN_SECONDS = 10.0
        private const val RECOVERED_RATIO = 0.95
        private const val ATTEMPT_TIMEOUT_SECONDS = 1.5
        private const val IN_TIME_SECONDS = 4.0
        private const val CANCEL_DELAY_SECONDS = 2.0
        private const val MAX_ATTEMPTS = 6
    }
}
