/** HTTP client for the operator ports of hosts. */
package burdockspread.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import java.io.Closeable
import kotlin.time.Duration.Companion.seconds

/** Client for the operator port of a host. */
public interface OperatorClient {
    /** Sends a `GET` request for [path] to [address], given as IP:port. */
    public suspend fun get(address: String, path: String): OperatorReply

    /** Sends a `POST` request for [path] to [address], given as IP:port. */
    public suspend fun post(address: String, path: String): OperatorReply
}

/** Response of an operator port. */
public sealed interface OperatorReply {
    /** The host responded with a success status. */
    public data class Body(public val text: String) : OperatorReply

    /** The host responded with an error status, or no response arrived. */
    public data class Failed(public val reason: String) : OperatorReply
}

/** [OperatorClient] over HTTP. */
internal class HttpOperatorClient :
    OperatorClient,
    Closeable {
    private val client = HttpClient(CIO) {
        install(HttpTimeout) { requestTimeoutMillis = CALL_TIMEOUT.inWholeMilliseconds }
        expectSuccess = false
    }

    override suspend fun get(address: String, path: String): OperatorReply =
        call { client.get("http://$address$path") }

    override suspend fun post(address: String, path: String): OperatorReply =
        call { client.post("http://$address$path") }

    override fun close() = client.close()

    private suspend fun call(send: suspend () -> HttpResponse): OperatorReply = try {
        val response = send()
        val text = response.bodyAsText()
        if (response.status.isSuccess()) {
            OperatorReply.Body(text)
        } else {
            OperatorReply.Failed("status ${response.status.value}: $text")
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        OperatorReply.Failed(e.message ?: e::class.java.simpleName)
    }

    private companion object {
        val CALL_TIMEOUT = 5.seconds
    }
}
