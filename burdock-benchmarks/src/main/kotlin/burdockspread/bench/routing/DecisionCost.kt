/** Measures time and allocation of one routing decision by fleet size. */
package burdockspread.bench.routing

import arrow.core.getOrElse
import burdockspread.id.FailureDomainId
import burdockspread.id.ModelId
import burdockspread.id.TargetId
import burdockspread.route.LoadReport
import burdockspread.route.PoolKey
import burdockspread.route.RouteRequest
import burdockspread.route.TargetChooser
import burdockspread.route.TargetRegistry
import burdockspread.route.TargetSpec
import com.sun.management.ThreadMXBean
import kotlinx.collections.immutable.persistentListOf
import java.lang.management.ManagementFactory
import kotlin.time.Instant

/** Mean time and allocation of one call. */
internal data class CallCost(val nanos: Long, val bytes: Long)

/** Measures the mean cost of [action] on the current thread after a warm-up. */
internal fun measureCost(action: (Int) -> Unit): CallCost {
    repeat(WARM_UP_CALLS, action)
    val bean = ManagementFactory.getThreadMXBean() as ThreadMXBean
    val thread = Thread.currentThread().id
    val bytes = bean.getThreadAllocatedBytes(thread)
    val start = System.nanoTime()
    repeat(MEASURED_CALLS, action)
    val nanos = System.nanoTime() - start
    val used = bean.getThreadAllocatedBytes(thread) - bytes
    return CallCost(nanos / MEASURED_CALLS, used / MEASURED_CALLS)
}

/** Cost of one choice, alone and with its feedback, in a pool of [targets] targets. */
internal class DecisionCost(targets: Int) {
    private val now = Instant.fromEpochSeconds(1_700_000_000)
    private val registry = TargetRegistry()
    private val chooser = TargetChooser(FailureDomainId("d0"), registry, RoutingTrial.SEED)
    private val pool = registry.pool(
        PoolKey.Model(ModelId("m")),
        List(targets) { TargetSpec(TargetId("t$it"), FailureDomainId("d${it % DOMAINS}"), 16) },
    )
    private val workload = Workload(RoutingTrial.SEED)
    private val requests = List(REQUESTS) {
        val next = workload.next()
        RouteRequest(promptTokens = next.promptTokens, blocks = next.prompt)
    }

    init {
        pool.targets.forEach {
            chooser.onReport(LoadReport(it.id, now, it.id.value.length, persistentListOf(0)))
        }
    }

    fun choiceCost(): CallCost = measureCost { chooser.choose(requests[it % REQUESTS], pool, now) }

    fun requestCost(): CallCost = measureCost {
        val request = requests[it % REQUESTS]
        val choice = chooser.choose(request, pool, now).getOrElse { error("no target") }
        val inFlight = chooser.onSent(request, choice, now)
        inFlight.onFirstToken(now)
        inFlight.onTokens(1, now)
        inFlight.onDone(now)
    }

    private companion object {
        const val DOMAINS = 38
        const val REQUESTS = 4_096
    }
}

private const val WARM_UP_CALLS = 200_000
private const val MEASURED_CALLS = 400_000
