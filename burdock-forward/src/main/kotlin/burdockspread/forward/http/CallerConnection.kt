/** The server side of a caller's connection. */
package burdockspread.forward.http

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.http.CallerConnectionEnd.Reason
import burdockspread.forward.http.CallerConnectionEnd.State
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Reads one request at a time and queues pipelined ones. Confined to the channel's event loop. */
internal class CallerConnection(
    private val handler: CallerHandler,
    private val now: () -> Instant,
    private val connections: MutableSet<CallerConnection>,
    private val decoder: CallerDecoder,
) : SimpleChannelInboundHandler<HttpObject>(false),
    ResponseOwner {
    private lateinit var context: ChannelHandlerContext
    private lateinit var ending: GracefulClose
    private lateinit var caller: String
    private val pipelined = PipelinedMessages()
    private val idle = IdleLimit(now(), handler.limits().idleTimeout)
    private val partial = PartialRequest()
    private var listener: CallerConnectionListener? = null
    private var writer: ChannelResponseWriter? = null
    private var isReadingQueue = false
    private val presence = CallerPresence()
    private val memory = handler.memory.open(::refuseIncomplete)
    private var isStopping = false
    private var answered = 0

    /** Memory of the request that is being answered. */
    private var answering = 0

    /** Caller's id of the request that is being read or answered. */
    private var requestId: String? = null

    /** Why the connection ends; null until that is decided. */
    private var endReason: Reason? = null
    private val isClosing: Boolean get() = endReason != null
    private val isResponding: Boolean get() = writer != null
    private val isEnding: Boolean get() = isStopping || handler.isDraining()
    private val state: State
        get() = when {
            isResponding -> State.RESPONDING
            partial.hasHead -> State.BODY
            decoder.unfinishedBytes > 0 -> State.HEAD
            pipelined.size > 0 -> State.RESPONDING
            else -> State.IDLE
        }

    /** Whether nothing of a request has been read that is not yet answered. */
    val isIdle: Boolean get() = state == State.IDLE

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        caller = context.channel().remoteAddress().toString().removePrefix("/")
        ending = GracefulClose(context) { handler.onWriteFailed(caller, it) }
        connections += this
        decoder.onPartialHead = { if (!isClosing) hasRoom() }
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        memory.release()
        connections -= this
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (isClosing) return drop(message)
        pipelined.add(message)
        if (!hasRoom() && !isResponding) return
        // While the host stops, what has arrived decides whether a response ends the connection.
        if (!isEnding) readQueue()
    }

    /**
     * Accounts for the memory of what was read and returns whether there is room. Without, a
     * request that is being read is refused; one that waits behind a response is read no further.
     */
    private fun hasRoom(undecodedBytes: Int = 0): Boolean {
        val head = decoder.partialHeadMemory + undecodedBytes
        val bytes = partial.memory + answering + pipelined.bytes + head
        val isIncomplete = !isResponding && (partial.hasHead || state == State.HEAD)
        if (memory.tryKeep(bytes, isIncomplete)) return true
        if (!isResponding) refuseIncomplete()
        return false
    }

    /** Ends the connection with a refusal of the request that is being read. */
    private fun refuseIncomplete() {
        if (isResponding || isClosing) return
        decoder.discard(context)
        pipelined.discardAll()
        reject(OVERLOADED)
        memory.release()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!isClosing && state == State.HEAD) hasRoom(decoder.undecodedBytes)
        if (!isClosing) readQueue()
        context.fireChannelReadComplete()
    }

    /** Ends connections that are idle or whose request takes too long. Called every 500 ms. */
    fun closeExpired(at: Instant) {
        noteLimits(at)
        if (expiry(at) != null) afterNextRead { now -> expiry(now)?.let { end(it, now) } }
    }

    /**
     * Ends the connection because the host exits: after the response in progress, with a refusal of
     * a request that has arrived in part, or else as soon as what has arrived was read.
     */
    fun closeGracefully(at: Instant) {
        isStopping = true
        noteLimits(at)
        if (!isResponding) afterNextRead { now -> expiry(now)?.let { end(it, now) } }
    }

    /** Records that the host exits, which ends the connection. */
    fun onStopped(at: Instant): Unit = recordEnd(Reason.STOPPED, at)

    private fun noteLimits(at: Instant) {
        idle.raise(handler.limits().idleTimeout)
        partial.noteHead(state == State.HEAD, at)
    }

    /** Returns why the connection has to end at [at], or null. */
    private fun expiry(at: Instant): Reason? {
        // The first request of a new connection may be under way.
        val isFirstRequestDue = answered == 0 && at - idle.since <= handler.limits().headerTimeout
        return when (state) {
            State.RESPONDING -> null
            State.IDLE -> when {
                isClosing -> null
                isStopping -> Reason.STOPPED
                handler.isDraining() && !isFirstRequestDue -> Reason.DRAINING
                idle.isExceeded(at) -> Reason.IDLE
                else -> null
            }
            State.HEAD, State.BODY -> when {
                isClosing -> null
                isStopping -> Reason.STOPPED
                partial.isLate(at, handler.limits()) -> Reason.REQUEST_TIMEOUT
                else -> null
            }
        }
    }

    private fun end(reason: Reason, at: Instant) {
        val isReading = state != State.IDLE
        recordEnd(reason, at, if (isReading) partial.limit(handler.limits()) else idle.limit)
        when {
            !isReading -> ending.start()
            reason == Reason.STOPPED ->
                reject(Refusal(ErrorCode.DRAINING, "the host stops", RETRY_AFTER_STOP))
            else -> reject(Refusal(ErrorCode.REQUEST_TIMEOUT, "the request did not arrive in time"))
        }
    }

    /** Runs [decide] after the event loop has read what the kernel holds. */
    private fun afterNextRead(decide: (Instant) -> Unit) {
        val loop = context.channel().eventLoop()
        loop.schedule({ decide(now()) }, READ_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Reports the end of the connection unless one was reported before. */
    private fun recordEnd(
        reason: Reason,
        at: Instant,
        limit: Duration = idle.limit,
        cause: Throwable? = null,
    ) {
        if (endReason != null) return
        val stateAtEnd = state
        endReason = reason
        handler.onConnectionEnded(
            CallerConnectionEnd(
                reason = reason,
                state = stateAtEnd,
                caller = caller,
                cause = cause,
                answered = answered,
                requestId = requestId,
                unfinishedBytes = decoder.unfinishedBytes,
                pipelinedMessages = pipelined.size,
                idle = if (stateAtEnd == State.RESPONDING) Duration.ZERO else at - idle.since,
                limit = limit,
            ),
        )
    }

    /** Reads queued messages until a response is in progress or the caller reads too slowly. */
    private fun readQueue() {
        if (isReadingQueue) return
        if (pipelined.size > 0 && !isClosing && presence.isUncertain(handler.isReadingLate())) {
            // A loop that is late runs the first task before it reads again, but not the second.
            return presence.check {
                afterNextRead { afterNextRead { if (presence.onChecked()) readQueue() } }
            }
        }
        isReadingQueue = true
        try {
            while (!isResponding && !isClosing && context.channel().isWritable) {
                read(pipelined.removeFirstOrNull() ?: break)
            }
        } catch (e: Throwable) {
            onUnexpected(e)
        } finally {
            isReadingQueue = false
        }
        if (isClosing) pipelined.discardAll()
        val isFull = pipelined.size > MAX_PIPELINED || pipelined.bytes > MAX_PIPELINED_BYTES
        context.channel().config().isAutoRead = !isFull
    }

    private fun read(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) {
            discard(message)
            if (failure is PrematureChannelClosureException) recordEnd(Reason.CALLER_CLOSED, now())
            return reject(undecodable(failure))
        }
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent) onContent(message)
    }

    private fun onHead(request: HttpRequest) {
        partial.begin(request, now())
        requestId = handler.requestId(request)
        val refusal = request.refusal(handler.limits())
        if (refusal != null) return reject(refusal)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
            )
        }
    }

    private fun onContent(content: HttpContent) {
        if (!partial.hasHead || isClosing) return discard(content)
        partial.append(content)
        content.release()
        if (!hasRoom()) return
        if (partial.bodySize > handler.limits().maxBodyBytes) return reject(bodyTooLarge())
        if (content !is LastHttpContent) return
        val request = partial.complete()
        answering = request.head.memory() + request.body.size
        val responseWriter = ChannelResponseWriter(request.head, context, this)
        writer = responseWriter
        val accepted = handler.onRequest(request, responseWriter)
        if (writer === responseWriter) listener = accepted
    }

    private fun reject(refusal: Refusal) {
        handler.onRejected(refusal)
        partial.clear()
        ChannelResponseWriter(null, context, this).also { writer = it }.refuse(refusal)
    }

    override fun onResponseBegins(isKeepAlivePossible: Boolean): Duration? {
        // A request that was read behind this one is answered as well.
        val isExpected = !isEnding || pipelined.hasRequest
        val isKept = isKeepAlivePossible && !isClosing && isExpected
        return if (isKept) handler.limits().idleTimeout.also(idle::promise) else null
    }

    override fun onResponseEnds(isKept: Boolean, refusal: Refusal?) {
        val at = now()
        answered++
        if (!isKept) {
            recordEnd(if (refusal == null) Reason.RESPONSE_COMPLETE else Reason.REFUSED, at)
            ending.start()
        }
        finishResponse(at)
    }

    override fun onResponseAborted(isFramed: Boolean) {
        val at = now()
        recordEnd(Reason.RESPONSE_ABORTED, at)
        if (isFramed) ending.start() else ending.reset()
        finishResponse(at)
    }

    /** Continues with pipelined requests. */
    private fun finishResponse(at: Instant) {
        writer = null
        listener = null
        requestId = null
        presence.reset()
        answering = 0
        memory.release()
        idle.restart(at, handler.limits().idleTimeout)
        readQueue()
        if (isStopping) closeGracefully(at)
    }

    private fun drop(message: HttpObject) {
        val reason = endReason
        if (message is HttpRequest && reason != null) {
            handler.onRequestDropped(handler.requestId(message), reason)
        }
        discard(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        recordEnd(Reason.CALLER_CLOSED, now())
        pipelined.discardAll()
        abandonRequest()
    }

    private fun abandonRequest() {
        val activeListener = listener
        listener = null
        activeListener?.onCallerGone()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        val isWritable = context.channel().isWritable
        listener?.onWritable(isWritable)
        if (isWritable && !isClosing) readQueue()
    }

    @Deprecated("Netty deprecates this method in ChannelHandler but still calls it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) return onUnexpected(cause)
        if (isClosing) handler.onWriteFailed(caller, cause)
        recordEnd(Reason.ERROR, now(), cause = cause)
        context.close()
    }

    /** Ends the connection after an unexpected exception, with a response if none has begun. */
    private fun onUnexpected(cause: Throwable) {
        recordEnd(Reason.ERROR, now(), cause = cause)
        handler.onUnexpectedException(requestId, cause)
        val current = writer
        abandonRequest()
        when {
            current == null && partial.hasHead -> reject(INTERNAL_ERROR)
            current == null -> ending.start()
            current.hasBegun -> current.abort()
            else -> current.refuse(INTERNAL_ERROR)
        }
    }

    private companion object {
        /** Number of pipelined messages after which the connection is no longer read. */
        const val MAX_PIPELINED = 64

        /** Longer than the event loop takes to start its next round, in which it reads. */
        const val READ_DELAY_MILLIS = 20L

        /** Callers open a new connection, which reaches another host. */
        val RETRY_AFTER_STOP = 50.milliseconds

        /** A retry reaches another host, or this one after what is complete has been answered. */
        val RETRY_AFTER_OVERLOAD = 200.milliseconds
        val OVERLOADED = Refusal(
            ErrorCode.OVERLOADED,
            "no memory for further requests",
            RETRY_AFTER_OVERLOAD,
        )

        /** Bytes of pipelined messages after which the connection is no longer read. */
        const val MAX_PIPELINED_BYTES = 65_536
        val INTERNAL_ERROR = Refusal(ErrorCode.INTERNAL, "internal error")
    }
}
