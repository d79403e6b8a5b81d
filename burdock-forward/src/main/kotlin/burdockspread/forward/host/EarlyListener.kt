/** Opens the callers' port before the rest of the program is loaded. */
package burdockspread.forward.host

import burdockspread.net.isIpv4Endpoint
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel
import java.nio.file.Files
import java.nio.file.Path

/**
 * Listens at the caller address of the settings file that [args] name. Connections wait in the
 * queue of the kernel until the host accepts them; without it they are refused for as long as the
 * program starts, which loses all requests when many hosts restart at once.
 *
 * Returns null for other arguments, an unexpected file or an address in use. The regular start
 * reports the reason.
 */
public fun listenEarly(args: Array<String>): ServerSocketChannel? {
    if (args.size != 2 || args[0] != "--config") return null
    return try {
        val settings = Files.readString(Path.of(args[1]))
        val address = CALLER_ADDRESS.find(settings)?.groupValues?.get(1)
        address?.takeIf(::isIpv4Endpoint)?.let(::listenAt)
    } catch (e: IOException) {
        null
    }
}

/** Listens at [address], an IP:port. */
internal fun listenAt(address: String): ServerSocketChannel {
    val port = address.substringAfterLast(':').toInt()
    val channel = ServerSocketChannel.open()
    try {
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        channel.bind(InetSocketAddress(address.substringBeforeLast(':'), port), QUEUED_CONNECTIONS)
    } catch (e: IOException) {
        channel.close()
        throw e
    }
    return channel
}

private const val QUEUED_CONNECTIONS = 1_024
private val CALLER_ADDRESS = Regex("\"callerAddress\"\\s*:\\s*\"([0-9.:]+)\"")
