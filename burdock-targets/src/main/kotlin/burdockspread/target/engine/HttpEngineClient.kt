/** HTTP client for the completion APIs of engines. */
package burdockspread.target.engine

import burdockspread.target.targetClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeoutConfig
import io.ktor.client.plugins.timeout
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration

/** Engine client that sends attempts over HTTP and reads responses as server-sent events. */
public class HttpEngineClient(private val connectTimeout: Duration) :
    EngineClient,
    Closeable {
    private val client = targetClient(connectTimeout)

    override fun generate(call: EngineCall): Flow<EngineEvent> = flow {
        val failure =
            try {
                statement(call).execute { read(it) }
            } catch (e: CancellationException) {
                throw e
            } catch (e: ConnectException) {
                EngineEvent.Failed(EngineFailure.UNREACHABLE, e.message.orEmpty())
            } catch (e: ConnectTimeoutException) {
                EngineEvent.Failed(EngineFailure.UNREACHABLE, e.message.orEmpty())
            } catch (e: Exception) {
                EngineEvent.Failed(EngineFailure.CONNECTION_LOST, e.message.orEmpty())
            }
        failure?.let { emit(it) }
    }

    override fun close() {
        client.close()
    }

    private suspend fun statement(call: EngineCall): HttpStatement =
        client.preparePost("http://${call.address}${call.body.api.path}") {
            contentType(ContentType.Application.Json)
            timeout { requestTimeoutMillis = HttpTimeoutConfig.INFINITE_TIMEOUT_MS }
            setBody(call.body.toEngineJson(call).toString())
        }

    /** Emits the events of [response] except the last one, which it returns. */
    private suspend fun FlowCollector<EngineEvent>.read(response: HttpResponse): EngineEvent? {
        if (!response.status.isSuccess()) return failureOf(response)
        emit(EngineEvent.Opened)
        val lines = response.bodyAsChannel()
        val chunks = ChunkReader()
        while (true) {
            val line = lines.readUTF8Line() ?: return chunks.onStreamEnd()
            if (!line.startsWith(DATA_PREFIX)) continue
            val event = chunks.read(line.substring(DATA_PREFIX.length).trimStart())
            if (event is EngineEvent.Finished || event is EngineEvent.Failed) return event
            event?.let { emit(it) }
        }
    }

    private suspend fun failureOf(response: HttpResponse): EngineEvent.Failed {
        val status = response.status
        val cause =
            when (status) {
                HttpStatusCode.TooManyRequests, HttpStatusCode.ServiceUnavailable ->
                    EngineFailure.OVERLOADED
                HttpStatusCode.BadRequest, HttpStatusCode.UnprocessableEntity ->
                    EngineFailure.REJECTED
                else -> EngineFailure.ENGINE_FAULT
            }
        val detail = response.bodyAsText().take(MAX_DETAIL_CHARS)
        return EngineEvent.Failed(cause, "status ${status.value}: $detail")
    }

    private companion object {
        const val DATA_PREFIX = "data:"
        const val MAX_DETAIL_CHARS = 200
    }
}
