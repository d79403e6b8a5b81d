/** Rollouts on one host: orders, evidence and the reports to the store. */
package burdockspread.forward.host

import burdockspread.forward.load.VersionGate
import burdockspread.forward.news.evidence
import burdockspread.forward.news.toTally
import burdockspread.forward.rollout.RolloutOptions
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.forward.rollout.RolloutState
import burdockspread.forward.rollout.ServiceRollout
import burdockspread.forward.rollout.VersionTally
import burdockspread.id.HostId
import burdockspread.id.ServiceId
import burdockspread.wire.forward.VersionEvidence
import burdockspread.wire.settings.RolloutSettings
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Applies the decisions of [ServiceRollout]. Confined to the request loop, except [proposals].
 *
 * The counts are sent to all hosts when they have changed and repeated now and then, since
 * datagrams may be lost.
 *
 * @param settings null if the operator orders no rollouts; all versions are then alike.
 * @param send sends evidence to all other hosts.
 */
internal class RolloutHost(
    settings: RolloutSettings?,
    private val log: RolloutLog,
    private val send: (VersionEvidence) -> Unit,
) {
    val isEnabled: Boolean = settings != null
    private val options = RolloutOptions(trialShare = TRIAL_FRACTION * exposureShare(settings))
    private val rollouts = HashMap<ServiceId, ServiceRollout>()
    private val sent = HashMap<ServiceId, VersionTally>()
    private val rejected = HashSet<ServiceId>()
    private var sentAt = Instant.DISTANT_PAST
    private var repeatedAt = Instant.DISTANT_PAST

    /** Changes of state that this host considers due. */
    @Volatile
    var proposals: ImmutableList<RolloutProposal> = persistentListOf()
        private set

    /** Returns the gate of [service]. */
    fun gate(service: ServiceId): VersionGate =
        if (isEnabled) rollout(service) else VersionGate.NONE

    private fun rollout(service: ServiceId) = rollouts.getOrPut(service) { ServiceRollout(options) }

    /** Applies the orders that the host knows. */
    fun onOrders(orders: Collection<RolloutOrder>, now: Instant): Unit = orders.forEach { order ->
        val rollout = rollout(order.service)
        if (!rollout.onOrder(order, now)) return@forEach
        if (!rollout.isRejected) rejected -= order.service
        log.onState(order, rollout.tally)
    }

    /** Applies the counts of [host], whose messages have an increasing [sequence]. */
    fun onEvidence(host: HostId, sequence: Long, evidence: VersionEvidence) {
        if (!isEnabled) return
        rollout(ServiceId(evidence.service))
            .onPeerTally(host, sequence, evidence.version, evidence.toTally())
    }

    /** Judges the versions and sends what is due. Called about twenty times per second. */
    fun tick(now: Instant) {
        val open = rollouts.filterValues { it.order?.state?.isFinal == false }
        if (open.isEmpty()) {
            if (proposals.isNotEmpty()) proposals = persistentListOf()
            return
        }
        open.values.forEach { it.tick(now) }
        open.filterValues { it.isRejected }.forEach { (service, rollout) ->
            val order = rollout.order
            if (order != null && rejected.add(service)) log.onRejected(order, rollout.tally)
        }
        if (now - sentAt >= MIN_INTERVAL) sendEvidence(open, now)
        proposals = open.values.mapNotNull { it.propose(now) }.toImmutableList()
    }

    private fun ServiceRollout.propose(now: Instant): RolloutProposal? {
        val current = order ?: return null
        val next = proposal(now) ?: return null
        val before = proposals.firstOrNull { it.order == current && it.state == next }
        return before ?: RolloutProposal(current, next, tally, now)
    }

    private fun sendEvidence(open: Map<ServiceId, ServiceRollout>, now: Instant) {
        sentAt = now
        val isRepetition = now - repeatedAt >= REPEAT_INTERVAL
        if (isRepetition) repeatedAt = now
        open.forEach { (service, rollout) ->
            val tally = rollout.localTally
            val order = rollout.order
            if (order == null || tally.responses == 0) return@forEach
            if (sent.put(service, tally) != tally || isRepetition) send(order.evidence(tally))
        }
    }

    private companion object {
        /** The rest covers the requests that hosts send before they know of an order. */
        const val TRIAL_FRACTION = 0.9
        const val DEFAULT_EXPOSURE_SHARE = 0.1

        /** A verdict is known everywhere far sooner than the seconds within which it must be. */
        val MIN_INTERVAL = 250.milliseconds
        val REPEAT_INTERVAL = 2.seconds

        fun exposureShare(settings: RolloutSettings?): Double =
            settings?.exposureShare?.takeIf { it > 0.0 } ?: DEFAULT_EXPOSURE_SHARE
    }
}

/**
 * A change of state that is due.
 *
 * @property order the rollout as the host knows it.
 * @property tally the responses that decided.
 * @property since when the host first considered it due.
 */
internal data class RolloutProposal(
    val order: RolloutOrder,
    val state: RolloutState,
    val tally: VersionTally,
    val since: Instant,
)
