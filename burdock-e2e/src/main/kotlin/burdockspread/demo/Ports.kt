/** Ports of one fleet on the loopback address. */
package burdockspread.demo

import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

/** Chooses free ports of the loopback address. */
internal object Ports {
    private val given = ConcurrentHashMap.newKeySet<Int>()

    /** The address of a free port, as IP:port. */
    fun freeAddress(): String = "127.0.0.1:${unused()}"

    /** The system may choose a port again before the process that it was given to has opened it. */
    private fun unused(): Int =
        generateSequence { ServerSocket(0).use { it.localPort } }.first(given::add)

    /** The port of [address]. */
    fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
}
