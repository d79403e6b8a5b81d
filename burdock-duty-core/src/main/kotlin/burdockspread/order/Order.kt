/** Orders to targets. */
package burdockspread.order

import burdockspread.id.ModelId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableSet
import kotlin.time.Instant

/** An order that states a wanted end, so that a repeated one changes nothing. */
public sealed interface Order {
    /** Whether the target reads from the weight store to carry it out. */
    public val loads: Boolean

    /** Whether the target stops taking work while it carries it out. */
    public val interrupts: Boolean

    /** Serve [version] of [model] and no other version of it. */
    public data class LoadModel(public val model: ModelId, public val version: String) : Order {
        override val loads: Boolean get() = true
        override val interrupts: Boolean get() = true
    }

    /** Stop serving [model]. */
    public data class UnloadModel(public val model: ModelId) : Order {
        override val loads: Boolean get() = false
        override val interrupts: Boolean get() = false
    }

    /** Hold exactly [adapters] for [model]. */
    public data class SetAdapters(
        public val model: ModelId,
        public val adapters: ImmutableSet<String>,
    ) : Order {
        override val loads: Boolean get() = true
        override val interrupts: Boolean get() = false
    }

    /** Take up [role]. */
    public data class ChangeRole(public val role: EngineRole) : Order {
        override val loads: Boolean get() = false
        override val interrupts: Boolean get() = true
    }
}

/** Answer of a target to an order. */
public enum class OrderResult {
    /** The target carries the order out. */
    ACCEPTED,

    /** The target knows a higher fencing token. */
    FENCED,

    /** The target refused the order or cannot be reached; nothing was done. */
    FAILED,

    /** No answer came: the order may be carried out. */
    UNKNOWN,
}

/** Effects of the placement core, carried out by the shell. */
public sealed interface OrderEffect {
    /**
     * Send [order] to [target] and give the answer to `onResult`.
     *
     * @property token fencing token to send with it.
     * @property sendBefore time after which the shell must not start to send it.
     */
    public data class Send(
        public val target: TargetId,
        public val order: Order,
        public val token: Long,
        public val sendBefore: Instant,
    ) : OrderEffect

    /** Ask [target] what it serves and give the answer to `onObserved`. */
    public data class ReadBack(public val target: TargetId) : OrderEffect

    /** A target knows a higher [token] than this one: stop acting for the duty. */
    public data class Superseded(public val token: Long) : OrderEffect
}
