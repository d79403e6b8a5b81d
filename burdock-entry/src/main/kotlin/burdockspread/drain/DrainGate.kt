/** Request admission during normal operation and graceful shutdown. */
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

/** Phase of a graceful shutdown. */
public enum class DrainPhase {
    /** New requests are accepted. */
    SERVING,

    /** The host reports itself as not ready to load balancers, but accepts new requests. */
    LEAVING,

    /** New requests are rejected; open ones may finish. */
    CLOSED,
}

/** Admits requests until the host is closed, up to [maxOpen] at a time. */
public class DrainGate(private val maxOpen: Int) : Interceptor {
    private val phase = AtomicReference(DrainPhase.SERVING)
    private val open = MutableStateFlow(0)

    /** Current phase. */
    public val currentPhase: DrainPhase get() = phase.get()

    /** Number of open requests. */
    public val openRequests: StateFlow<Int> = open.asStateFlow()

    /** Advances to the phase [next]; never returns to an earlier phase. */
    public fun advance(next: DrainPhase) {
        phase.accumulateAndGet(next, ::maxOf)
    }

    override suspend fun intercept(chain: Interceptor.Chain): RequestResult {
        if (phase.get() == DrainPhase.CLOSED) {
            return refuse(ErrorCode.DRAINING, "the host is shutting down")
        }
        if (open.value >= maxOpen) {
            return refuse(ErrorCode.OVERLOADED, "limit of $maxOpen open requests reached")
        }
        return chain.proceed()
    }

    /** Counts a request as open until the returned ticket is closed. */
    public fun enter(): Ticket {
        open.update { it + 1 }
        return Ticket()
    }

    /** Registration of one open request. */
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
