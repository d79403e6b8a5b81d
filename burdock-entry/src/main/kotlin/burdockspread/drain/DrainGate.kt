/** Counts open requests and closes the door during a graceful shutdown. */
package burdockspread.drain

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.intercept.Interceptor
import burdockspread.request.ErrorResult
import burdockspread.request.RequestResult
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/** Whether a host takes new work. */
public enum class DrainPhase {
    /** All work is taken. */
    SERVING,

    /** The balancer is told to stop sending; work that still comes is taken. */
    LEAVING,

    /** New work is refused; open requests finish. */
    CLOSED,
}

/** Admits requests while the host serves, up to [maxOpen] at a time. */
public class DrainGate(private val maxOpen: Int) : Interceptor {
    private val phase = AtomicReference(DrainPhase.SERVING)
    private val open = MutableStateFlow(0)

    /** The present phase. */
    public val currentPhase: DrainPhase get() = phase.get()

    /** Number of open requests. */
    public val openRequests: StateFlow<Int> = open.asStateFlow()

    /** Moves on to [next]; phases never go back. */
    public fun advance(next: DrainPhase) {
        phase.accumulateAndGet(next, ::maxOf)
    }

    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        if (phase.get() == DrainPhase.CLOSED) {
            return refuse(ErrorCode.DRAINING, "the host is stopping")
        }
        if (open.value >= maxOpen) {
            return refuse(ErrorCode.OVERLOADED, "the host has $maxOpen open requests")
        }
        return chain.proceed()
    }

    /** Counts a request as open until the returned ticket is closed. */
    public fun enter(): Ticket {
        open.update { it + 1 }
        return Ticket()
    }

    /** One open request. */
    public inner class Ticket : AutoCloseable {
        private val closed = AtomicBoolean()

        override fun close() {
            if (closed.compareAndSet(false, true)) open.update { it - 1 }
        }
    }

    private fun refuse(code: ErrorCode, detail: String): RequestResult =
        ErrorResult(Refusal(code, detail, RETRY_AFTER))

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
