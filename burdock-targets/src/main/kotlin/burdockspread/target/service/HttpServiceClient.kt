/** HTTP client for plain services. */
package burdockspread.target.service

import burdockspread.target.targetClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration

/** Service client that sends calls as `POST /{call}` and never retries them. */
public class HttpServiceClient(connectTimeout: Duration) :
    ServiceClient,
    Closeable {
    private val client = targetClient(connectTimeout)

    override suspend fun send(call: ServiceCall): ServiceResult = try {
        val response =
            client.post("http://${call.address}/${call.call}") {
                timeout { requestTimeoutMillis = call.timeout.inWholeMilliseconds }
                contentType(ContentType.Application.Json)
                call.key?.let { header("Idempotency-Key", it) }
                setBody(call.body)
            }
        when (val status = response.status.value) {
            in VALID_STATUSES -> ServiceResult.Responded(status, response.bodyAsText())
            else -> ServiceResult.Unknown("invalid status $status")
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        ServiceResult.NotSent(e.message.orEmpty())
    } catch (e: ConnectTimeoutException) {
        ServiceResult.NotSent(e.message.orEmpty())
    } catch (e: Exception) {
        ServiceResult.Unknown(e.message.orEmpty())
    }

    override fun close() {
        client.close()
    }

    private companion object {
        /** Others are invalid by RFC 9110, section 15, and count as a failure of the server. */
        val VALID_STATUSES = 100..599
    }
}
