/** Orders to targets and their results. */
package burdockspread.order

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlin.time.Instant

/** An idempotent order, which states the desired state of a target. */
public sealed interface Order {
    /** Whether the target loads from the weight store to execute the order. */
    public val loads: Boolean

    /** Whether the target accepts no requests while it executes the order. */
    public val interrupts: Boolean

    /** Serves [version] of [model] and no other version of it. */
    public data class LoadModel(public val model: ModelId, public val version: String) : Order {
        override val loads: Boolean get() = true
        override val interrupts: Boolean get() = true
    }

    /** Stops serving [model]. */
    public data class UnloadModel(public val model: ModelId) : Order {
        override val loads: Boolean get() = false
        override val interrupts: Boolean get() = false
    }

    /** Loads exactly [adapters] for [model]. */
    public data class SetAdapters(
        public val model: ModelId,
        public val adapters: ImmutableSet<String>,
    ) : Order {
        override val loads: Boolean get() = true
        override val interrupts: Boolean get() = false
    }

    /** Changes the role of the engine to [role]. */
    public data class ChangeRole(public val role: EngineRole) : Order {
        override val loads: Boolean get() = false
        override val interrupts: Boolean get() = true
    }
}

/** Result of sending an order to a target. */
public enum class OrderResult {
    /** The target executes the order. */
    ACCEPTED,

    /** The target has seen a higher fencing token. */
    FENCED,

    /** The target rejected the order or is unreachable; the order was not executed. */
    FAILED,

    /** No response was received; the order may or may not be executed. */
    UNKNOWN,
}

/** Effect of a [PlacementReconciler], executed by the caller. */
public sealed interface OrderEffect {
    /**
     * Sends [order] to [target]. The result is passed to `onResult`.
     *
     * @property token fencing token to send with the order.
     * @property sendBefore time after which the caller must not start to send the order.
     */
    public data class Send(
        public val target: TargetId,
        public val order: Order,
        public val token: Long,
        public val sendBefore: Instant,
    ) : OrderEffect

    /** Queries what [target] serves. The result is passed to `onObserved`. */
    public data class ReadBack(public val target: TargetId) : OrderEffect

    /** A target has seen a higher token than [token]: all work for the duty must stop. */
    public data class Superseded(public val token: Long) : OrderEffect
}
