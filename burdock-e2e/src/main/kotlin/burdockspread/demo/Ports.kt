/** Allocation of ports on the loopback address. */
package burdockspread.demo

import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

/** Allocator of free ports, which gives out no port twice. */
internal object Ports {
    private val allocated = ConcurrentHashMap.newKeySet<Int>()

    /** Returns the address of a free port as IP:port. */
    fun freeAddress(): String = "127.0.0.1:${unusedPort()}"

    /** Skips ports allocated before: the OS may repeat one until its process has bound it. */
    private fun unusedPort(): Int =
        generateSequence { ServerSocket(0).use { it.localPort } }.first(allocated::add)

    /** Returns the port of [address]. */
    fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
}
