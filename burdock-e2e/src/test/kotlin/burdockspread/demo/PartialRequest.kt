package burdockspread.demo

import java.net.Socket

/** Connection that sends only incomplete requests. */
internal class PartialRequest(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port)

    /** Sends fewer body bytes than Content-Length announces and returns the response. */
    fun sendPartialBody(): String {
        val head =
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" +
                "Authorization: Bearer $SKARJEVEC_KEY\r\nContent-Length: 100\r\n\r\n{"
        socket.getOutputStream().write(head.toByteArray())
        return socket.getInputStream().bufferedReader().readText()
    }

    /** Sends part of a request head and returns all data up to the close by the server. */
    fun sendPartialHead(): String {
        socket.getOutputStream().write("POST /v1/compl".toByteArray())
        return socket.getInputStream().bufferedReader().readText()
    }

    override fun close() = socket.close()
}
