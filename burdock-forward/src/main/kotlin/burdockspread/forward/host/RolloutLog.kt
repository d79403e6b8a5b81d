/** Log lines and counters of rollouts. */
package burdockspread.forward.host

import burdockspread.forward.rollout.ResponseCount
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.forward.rollout.VersionTally
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage

/** Reports each step of a rollout with the evidence for it; the steps are few. */
internal class RolloutLog(private val metrics: ForwardMetrics) {
    /** Called when the store or a peer has shown another state of [order]. */
    fun onState(order: RolloutOrder, tally: VersionTally) {
        metrics.count("burdock_forward_rollout_states_total", "state", order.state.name.lowercase())
        log.info(event("rollout_state", order, tally).with("state", order.state.name.lowercase()))
    }

    /** Called when this host has found the new version of [order] bad and sends it nothing more. */
    fun onRejected(order: RolloutOrder, tally: VersionTally) {
        metrics.count("burdock_forward_rollout_rejections_total")
        log.warn(event("rollout_version_rejected", order, tally))
    }

    /** Called when this host has tried to report [proposal] to the store, which gave [result]. */
    fun onReported(proposal: RolloutProposal, result: String): Unit = log.info(
        event("rollout_reported", proposal.order, proposal.tally)
            .with("state", proposal.state.name.lowercase())
            .with("result", result),
    )

    private fun event(name: String, order: RolloutOrder, tally: VersionTally) = StringMapMessage()
        .with("event", name)
        .with("service", order.service.value)
        .with("version", order.version)
        .with("store_version", order.storeVersion)
        .with("old", tally.total.old.text())
        .with("new", tally.total.new.text())

    private fun ResponseCount.text() = "$bad bad of $responses"

    private companion object {
        val log = LogManager.getLogger("forward")
    }
}
