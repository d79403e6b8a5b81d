/** Simulates targets that load models in virtual time, some of which ignore fencing tokens. */
package burdockspread.order

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class FakeTarget(val id: TargetId, val checksToken: Boolean, var version: String?) {
    var loading: String? = null
    var loadedAt = Instant.DISTANT_FUTURE
    var highestToken = 0L

    val serves: Boolean get() = loading == null && version != null

    fun receive(order: Order, token: Long, now: Instant): OrderResult {
        if (checksToken && token < highestToken) return OrderResult.FENCED
        highestToken = maxOf(highestToken, token)
        if (order is Order.LoadModel && loading != order.version) {
            loading = order.version
            loadedAt = now + LOAD_TIME
        }
        return OrderResult.ACCEPTED
    }

    fun step(now: Instant) {
        if (now < loadedAt) return
        version = loading
        loading = null
        loadedAt = Instant.DISTANT_FUTURE
    }

    fun observe() = ObservedTarget(
        id,
        version?.let { persistentMapOf(MODEL to ModelSpec(it)) } ?: persistentMapOf(),
        loading?.let { persistentMapOf(MODEL to it) } ?: persistentMapOf(),
        EngineRole.MIXED,
        serves,
    )

    companion object {
        val MODEL = ModelId("m")
        val LOAD_TIME = 20.seconds
    }
}

/** Executes the orders of any number of holders. Orders and responses may be lost. */
internal class FakeTargets(seed: Int, count: Int, checksToken: (Int) -> Boolean) {
    val random = Random(seed)
    val targets = List(count) { FakeTarget(TargetId("t$it"), checksToken(it), "v1") }
    var now = Instant.fromEpochSeconds(1_000_000)
    var faults = 0.0
    private val delayed = ArrayList<Pair<Instant, () -> Unit>>()

    fun desired(version: String, floor: Int, maxLoads: Int) = DesiredPlacement(
        targets.map {
            val models = persistentMapOf(FakeTarget.MODEL to ModelSpec(version, persistentSetOf()))
            DesiredTarget(it.id, it.checksToken, models)
        }.toImmutableList(),
        persistentMapOf(FakeTarget.MODEL to floor),
        maxLoads,
    )

    fun step() {
        now += 1.seconds
        targets.forEach { it.step(now) }
        val due = delayed.filter { it.first <= now }
        delayed.removeAll(due)
        due.forEach { it.second() }
    }

    fun execute(placement: PlacementReconciler, effects: List<OrderEffect>) {
        for (effect in effects) {
            when (effect) {
                is OrderEffect.Send -> send(placement, effect)
                is OrderEffect.ReadBack ->
                    if (!isFaulty()) placement.onObserved(target(effect.target).observe(), now)
                is OrderEffect.Superseded -> Unit
            }
        }
    }

    /** Sends an order like a holder that was paused between its decision and the send. */
    fun sendLate(effect: OrderEffect.Send): OrderResult =
        target(effect.target).receive(effect.order, effect.token, now)

    private fun send(placement: PlacementReconciler, effect: OrderEffect.Send) {
        if (isFaulty()) {
            placement.onResult(effect.target, effect.token, OrderResult.UNKNOWN, now)
            val arrival = now + random.nextInt(3).seconds
            if (random.nextBoolean()) delayed += arrival to { sendLate(effect) }
            return
        }
        val result = sendLate(effect)
        execute(placement, placement.onResult(effect.target, effect.token, result, now))
    }

    private fun target(id: TargetId) = targets.first { it.id == id }

    private fun isFaulty() = random.nextDouble() < faults
}
