package burdockspread.demo

import java.net.Socket

/** A connection on which no whole request is ever sent. */
internal class HalfRequest(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port)

    /** Sends a head that promises more body than follows, and returns what the server says. */
    fun sendHalfBody(): String {
        val head =
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" +
                "Authorization: Bearer $SKARJEVEC_KEY\r\nContent-Length: 100\r\n\r\n{"
        socket.getOutputStream().write(head.toByteArray())
        return socket.getInputStream().bufferedReader().readText()
    }

    /** Sends half a head, and returns what comes until the server closes the connection. */
    fun sendHalfHead(): String {
        socket.getOutputStream().write("POST /v1/compl".toByteArray())
        return socket.getInputStream().bufferedReader().readText()
    }

    override fun close() = socket.close()
}
