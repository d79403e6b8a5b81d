/** Ports of one fleet on the loopback address. */
package burdockspread.demo

import java.net.ServerSocket

/** Chooses free ports of the loopback address. */
internal object Ports {
    /** The address of a free port, as IP:port. */
    fun freeAddress(): String = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"

    /** The port of [address]. */
    fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
}
