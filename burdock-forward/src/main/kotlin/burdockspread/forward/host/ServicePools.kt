/** The load policies and retry budgets of all services on the request loop. */
package burdockspread.forward.host

import burdockspread.forward.http.ExchangeRunner
import burdockspread.forward.load.LoadPolicy
import burdockspread.forward.load.TargetLossListener
import burdockspread.forward.load.VersionGate
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.retry.RetryBudget
import burdockspread.wire.settings.RetrySettings
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Instant

/** A service's load policy, retry budget and open requests. */
internal class ServicePool(val policy: LoadPolicy, val budget: RetryBudget) {
    val running = LinkedHashMap<Long, ExchangeRunner>()
}

/** Creates and updates the pools. Not thread-safe. */
internal class ServicePools(
    private val domain: FailureDomainId,
    private val seed: Long,
    private val retries: RetrySettings,
    private val hosts: () -> Int,
    private val factory: LoadPolicy.Factory,
    private val lossListener: TargetLossListener,
    private val gate: (ServiceId) -> VersionGate = { VersionGate.NONE },
    private val onRollouts: (Collection<RolloutOrder>, Instant) -> Unit = { _, _ -> },
) {
    private val pools = HashMap<ServiceId, ServicePool>()
    private var applied: HostView? = null

    val all: Collection<ServicePool> get() = pools.values

    fun entries(): Map<ServiceId, ServicePool> = pools

    fun pool(service: ServiceId): ServicePool = pools.getOrPut(service) {
        val policy = factory.create(
            domain,
            seed + service.value.hashCode(),
            gate(service),
            lossListener,
        )
        ServicePool(policy, RetryBudget(retries.ratio * RETRY_RATIO_MARGIN, retryCapacity()))
    }

    /**
     * Returns this host's part of half of the slack that all hosts share, since a token bucket may
     * spend its capacity within any window.
     */
    private fun retryCapacity(): Int =
        (retries.slack / (2 * hosts().coerceAtLeast(MIN_HOSTS))).toInt().coerceAtLeast(1)

    /** Applies a new snapshot to the policies. */
    fun apply(view: HostView, now: Instant) {
        val before = applied
        if (view.rollouts !== before?.rollouts) onRollouts(view.rollouts.values, now)
        applied = view
        if (view.catalog === before?.catalog && view.directory === before?.directory) return
        val catalog = view.catalog ?: return
        catalog.services.forEach { (id, service) ->
            val targets = view.directory.services[id] ?: persistentListOf()
            pool(id).policy.onTargets(service, targets, now)
        }
    }

    /** Starts or refuses queued requests as far as a decision is possible now. */
    fun poll(now: Instant) {
        // A host that has just started knows few of the others.
        val capacity = retryCapacity()
        pools.values.forEach { it.budget.resize(capacity) }
        // A refusal may run a pipelined request, which adds a pool.
        pools.values.toList().forEach { pool ->
            pool.policy.poll(now).forEach { pool.running[it.localId]?.onPlacement(it.decision) }
        }
    }

    private companion object {
        /** Number of hosts assumed until the others are known. */
        const val MIN_HOSTS = 8

        /**
         * Fraction of the shared ratio that is used; the rest covers requests that the bound does
         * not count.
         */
        const val RETRY_RATIO_MARGIN = 0.75
    }
}
