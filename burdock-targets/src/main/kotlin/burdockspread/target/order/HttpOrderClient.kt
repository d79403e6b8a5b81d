/** HTTP client for the order API of engines. */
package burdockspread.target.order

import burdockspread.json.decodeBounded
import burdockspread.target.targetClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import java.io.Closeable
import java.net.ConnectException
import kotlin.time.Duration

/** Client for `POST /admin/orders` and `GET /admin/state`; each call ends within [timeout]. */
public class HttpOrderClient(timeout: Duration) :
    OrderClient,
    Closeable {
    @Serializable
    private data class StateJson(val models: Map<String, JsonElement> = emptyMap()) {
        /** Versions by model; a model without a version costs no other. */
        fun versions(): Map<String, String> = models.mapNotNull { (model, version) ->
            (version as? JsonPrimitive)?.takeIf { it.isString }?.let { model to it.content }
        }.toMap()
    }

    private val client = targetClient(timeout, timeout)

    override suspend fun send(call: OrderCall): OrderOutcome = try {
        val response =
            client.post("http://${call.address}/admin/orders") {
                contentType(ContentType.Application.Json)
                setBody("""{"fencing_token":${call.fencingToken},"desired":${call.desired}}""")
            }
        when {
            response.status.isSuccess() -> OrderOutcome.Accepted
            response.status == HttpStatusCode.Conflict -> OrderOutcome.Fenced
            else -> OrderOutcome.Failed("status ${response.status.value}")
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        OrderOutcome.Failed(e.message.orEmpty())
    } catch (e: ConnectTimeoutException) {
        OrderOutcome.Failed(e.message.orEmpty())
    } catch (e: Exception) {
        OrderOutcome.Unknown(e.message.orEmpty())
    }

    override suspend fun state(address: String): EngineState? = try {
        val response = client.get("http://$address/admin/state")
        val state = json.decodeBounded<StateJson>(response.bodyAsText())
        EngineState(state.versions().toImmutableMap()).takeIf { response.status.isSuccess() }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }

    override fun close() {
        client.close()
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
