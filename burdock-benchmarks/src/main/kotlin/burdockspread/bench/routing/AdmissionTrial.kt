/** Goodput beyond capacity, with and without admission. */
package burdockspread.bench.routing

import burdockspread.admission.Admission
import burdockspread.admission.AdmissionDecision
import burdockspread.admission.AdmissionEffect
import burdockspread.admission.QueuedRequest
import burdockspread.route.Choice
import org.HdrHistogram.Histogram
import kotlin.time.Duration.Companion.seconds

/** Figures of one run. */
internal data class AdmissionResult(
    /** Requests per second whose first token came in time. */
    val goodput: Double,
    val offered: Double,
    /** Requests that ran although their first token came late. */
    val late: Long,
    val refused: Long,
    /** Time from arrival to a refusal. */
    val refusalP95Millis: Long,
)

internal class AdmissionTrial(
    private val admitted: Boolean,
    private val loadFactor: Double,
    seed: Long = RoutingTrial.SEED,
) {
    private val simulation = Simulation()
    private val workload = Workload(seed)
    private val fleet = Fleet(
        simulation,
        { host, engines, time -> ChooserPolicy(host, engines, time, prefixes = true) },
        REPORT_DELAY,
    )
    private val hosts = fleet.hosts.map { EntryHost(it as ChooserPolicy) }
    private val refusals = Histogram(MAX_MILLIS, 3)
    private var inTime = 0L
    private var late = 0L
    private var offered = 0L
    private var refused = 0L

    fun run(): AdmissionResult {
        arrive()
        hosts.forEach { host -> simulation.every(TICK_SECONDS) { host.startWaiting() } }
        simulation.runUntil(WARM_UP + MEASURED)
        return AdmissionResult(
            inTime / MEASURED,
            offered / MEASURED,
            late,
            refused,
            refusals.getValueAtPercentile(95.0),
        )
    }

    private fun arrive() {
        simulation.after(workload.gap(Fleet.CAPACITY * loadFactor)) {
            val request = workload.next()
            if (measured()) offered++
            hosts[request.id % hosts.size].accept(request)
            arrive()
        }
    }

    private fun measured(): Boolean = simulation.seconds > WARM_UP

    private inner class EntryHost(private val policy: ChooserPolicy) {
        private val admission = Admission(policy.chooser)
        private val waiting = HashMap<QueuedRequest, Arrival>()

        fun accept(request: SimRequest) {
            val arrival = Arrival(request, simulation.seconds)
            if (!admitted) {
                val index = policy.choose(request)
                policy.onSent(request, index)
                submit(arrival, index)
                return
            }
            val route = policy.routeOf(request).copy(deadline = simulation.now + DEADLINE.seconds)
            when (val decision = admission.admit(route, policy.pool, simulation.now)) {
                is AdmissionDecision.Run -> send(arrival, decision.choice)
                is AdmissionDecision.Wait -> waiting[decision.queued] = arrival
                is AdmissionDecision.Refuse -> refuse(arrival)
            }
        }

        fun startWaiting() {
            admission.onSlotFreed(policy.pool, simulation.now).forEach { effect ->
                val arrival = waiting.remove(effect.queued) ?: return@forEach
                when (effect) {
                    is AdmissionEffect.Run -> send(arrival, effect.choice)
                    is AdmissionEffect.Refuse -> refuse(arrival)
                }
            }
        }

        private fun send(arrival: Arrival, choice: Choice) {
            policy.sent(arrival.request, choice)
            submit(arrival, policy.indexOf(choice.target.id))
        }

        private fun submit(arrival: Arrival, index: Int) {
            fleet.engines[index].submit(
                arrival.request,
                object : EngineListener {
                    override fun onFirstToken(cachedTokens: Int) {
                        policy.onFirstToken(arrival.request, cachedTokens)
                        count(arrival)
                    }

                    override fun onDone() = ended(broken = false)

                    override fun onBroken() = ended(broken = true)

                    private fun ended(broken: Boolean) {
                        policy.onEnded(arrival.request, index, broken)
                        if (admitted) startWaiting()
                    }
                },
            )
        }
    }

    private fun count(arrival: Arrival) {
        if (!measured()) return
        if (simulation.seconds - arrival.at <= DEADLINE) inTime++ else late++
    }

    private fun refuse(arrival: Arrival) {
        if (!measured()) return
        refused++
        refusals.recordValue(((simulation.seconds - arrival.at) * MILLIS).toLong())
    }

    private class Arrival(val request: SimRequest, val at: Double)

    companion object {
        const val DEADLINE = 2.0
        const val WARM_UP = 20.0
        const val MEASURED = 40.0
        private const val REPORT_DELAY = 1.0
        private const val TICK_SECONDS = 0.05
        private const val MILLIS = 1_000.0
        private const val MAX_MILLIS = 600_000L
    }
}
