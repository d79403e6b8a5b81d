/** Measures goodput under overload, with and without admission control. */
package burdockspread.bench.routing

import burdockspread.admission.Admission
import burdockspread.admission.AdmissionDecision
import burdockspread.admission.AdmissionEffect
import burdockspread.admission.QueuedRequest
import burdockspread.route.Choice
import org.HdrHistogram.Histogram
import kotlin.time.Duration.Companion.seconds

/** Results of one run. */
internal data class AdmissionResult(
    /** Requests per second whose first token arrived within the deadline. */
    val goodput: Double,
    val offered: Double,
    /** Requests that ran but whose first token arrived after the deadline. */
    val late: Long,
    val refused: Long,
    /** Time from arrival to refusal, 95th percentile. */
    val refusalP95Millis: Long,
)

internal class AdmissionTrial(
    private val admissionEnabled: Boolean,
    private val loadFactor: Double,
    seed: Long = RoutingTrial.SEED,
) {
    private val simulation = Simulation()
    private val workload = Workload(seed)
    private val fleet = Fleet(
        simulation,
        { host, engines, time -> ChooserPolicy(host, engines, time, prefixAware = true) },
        REPORT_DELAY_SECONDS,
    )
    private val hosts = fleet.hosts.map { EntryHost(it as ChooserPolicy) }
    private val refusals = Histogram(MAX_MILLIS, 3)
    private var onTime = 0L
    private var late = 0L
    private var offered = 0L
    private var refused = 0L

    fun run(): AdmissionResult {
        scheduleArrival()
        hosts.forEach { host -> simulation.every(TICK_SECONDS) { host.startQueued() } }
        simulation.runUntil(WARM_UP_SECONDS + MEASURED_SECONDS)
        return AdmissionResult(
            onTime / MEASURED_SECONDS,
            offered / MEASURED_SECONDS,
            late,
            refused,
            refusals.getValueAtPercentile(95.0),
        )
    }

    private fun scheduleArrival() {
        simulation.after(workload.interarrivalSeconds(Fleet.CAPACITY_PER_SECOND * loadFactor)) {
            val request = workload.next()
            if (isMeasured()) offered++
            hosts[request.id % hosts.size].accept(request)
            scheduleArrival()
        }
    }

    private fun isMeasured(): Boolean = simulation.seconds > WARM_UP_SECONDS

    private inner class EntryHost(private val policy: ChooserPolicy) {
        private val admission = Admission(policy.chooser)
        private val queuedArrivals = HashMap<QueuedRequest, Arrival>()

        fun accept(request: SimRequest) {
            val arrival = Arrival(request, simulation.seconds)
            if (!admissionEnabled) {
                val index = policy.choose(request)
                policy.onSent(request, index)
                submit(arrival, index)
                return
            }
            val route = policy.routeOf(request)
                .copy(deadline = simulation.now + DEADLINE_SECONDS.seconds)
            when (val decision = admission.admit(route, policy.pool, simulation.now)) {
                is AdmissionDecision.Run -> send(arrival, decision.choice)
                is AdmissionDecision.Wait -> queuedArrivals[decision.queued] = arrival
                is AdmissionDecision.Refuse -> refuse(arrival)
            }
        }

        fun startQueued() {
            admission.onSlotFreed(policy.pool, simulation.now).forEach { effect ->
                val arrival = queuedArrivals.remove(effect.queued) ?: return@forEach
                when (effect) {
                    is AdmissionEffect.Run -> send(arrival, effect.choice)
                    is AdmissionEffect.Refuse -> refuse(arrival)
                }
            }
        }

        private fun send(arrival: Arrival, choice: Choice) {
            policy.recordSent(arrival.request, choice)
            submit(arrival, policy.indexOf(choice.target.id))
        }

        private fun submit(arrival: Arrival, index: Int) {
            fleet.engines[index].submit(
                arrival.request,
                object : EngineListener {
                    override fun onFirstToken(cachedTokens: Int) {
                        policy.onFirstToken(arrival.request, cachedTokens)
                        recordFirstToken(arrival)
                    }

                    override fun onDone() = onEnd(broken = false)

                    override fun onBroken() = onEnd(broken = true)

                    private fun onEnd(broken: Boolean) {
                        policy.onEnded(arrival.request, index, broken)
                        if (admissionEnabled) startQueued()
                    }
                },
            )
        }
    }

    private fun recordFirstToken(arrival: Arrival) {
        if (!isMeasured()) return
        if (simulation.seconds - arrival.arrivedAt <= DEADLINE_SECONDS) onTime++ else late++
    }

    private fun refuse(arrival: Arrival) {
        if (!isMeasured()) return
        refused++
        refusals.recordValue(((simulation.seconds - arrival.arrivedAt) * MILLIS).toLong())
    }

    private class Arrival(val request: SimRequest, val arrivedAt: Double)

    companion object {
        const val DEADLINE_SECONDS = 2.0
        const val WARM_UP_SECONDS = 20.0
        const val MEASURED_SECONDS = 40.0
        private const val REPORT_DELAY_SECONDS = 1.0
        private const val TICK_SECONDS = 0.05
        private const val MILLIS = 1_000.0
        private const val MAX_MILLIS = 600_000L
    }
}
