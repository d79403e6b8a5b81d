package burdockspread.forward.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelOutboundBuffer
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.DuplexChannel

/** A channel without a network that can be half-closed; its peer reads only if [isReading]. */
internal class SlowChannel(vararg handlers: ChannelHandler) :
    EmbeddedChannel(*handlers),
    DuplexChannel {
    /** Whether the peer reads what is written; the rest is queued. */
    var isReading: Boolean = true
        set(value) {
            field = value
            flush()
        }
    private var isOutputShut = false

    /** Number of messages that were not written when the output was shut down. */
    var unwrittenAtShutdown = 0
        private set

    override fun doWrite(buffer: ChannelOutboundBuffer) {
        if (isReading) super.doWrite(buffer)
    }

    override fun isOutputShutdown(): Boolean = isOutputShut

    override fun shutdownOutput(): ChannelFuture = shutdownOutput(newPromise())

    override fun shutdownOutput(promise: ChannelPromise): ChannelFuture {
        isOutputShut = true
        unwrittenAtShutdown = unsafe().outboundBuffer()?.size() ?: 0
        return promise.setSuccess()
    }

    override fun isInputShutdown(): Boolean = false

    override fun shutdownInput(): ChannelFuture = error("not used")

    override fun shutdownInput(promise: ChannelPromise): ChannelFuture = error("not used")

    override fun isShutdown(): Boolean = false

    override fun shutdown(): ChannelFuture = error("not used")

    override fun shutdown(promise: ChannelPromise): ChannelFuture = error("not used")
}
