/** HTTP client for the platform's versioned object API. */
package burdockspread.store.http

import burdockspread.json.MAX_NESTING
import burdockspread.json.withoutDeepValues
import burdockspread.net.TransferDeadline
import burdockspread.net.encodePathSegment
import burdockspread.net.isWellFormed
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutConfig
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareGet
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.readUTF8Line
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import org.apache.logging.log4j.LogManager
import java.io.Closeable
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Object store on the platform's object API: JSON objects with a resource version, optimistic
 * concurrency by that version, and watches as a stream of JSON lines.
 *
 * @param address IP:port of the API.
 * @param namespace namespace of the system's objects.
 * @param callTimeout time after which a call fails whose response is neither complete nor makes
 *   progress, see [TransferDeadline]; watches have no timeout.
 */
public class HttpObjectStore(
    address: String,
    namespace: String,
    private val callTimeout: Duration,
) : ObjectStore,
    Closeable {
    private val root = "http://$address/apis/$API_VERSION/namespaces/$namespace"
    private val client =
        HttpClient(CIO) {
            install(HttpTimeout) {
                connectTimeoutMillis = callTimeout.inWholeMilliseconds
                requestTimeoutMillis = HttpTimeoutConfig.INFINITE_TIMEOUT_MS
            }
            engine { requestTimeout = 0 }
            expectSuccess = false
        }

    override suspend fun get(key: ObjectKey): ReadResult =
        readCall({ ReadResult.Unavailable(it) }) {
            val (status, text) = fetch(HttpMethod.Get, path(key))
            when {
                status.isSuccess() ->
                    ReadResult.Found(toStoredObject(key.kind, decode<ApiObject>(text, IN_OBJECT)))
                status == HttpStatusCode.NotFound -> ReadResult.Missing
                else -> ReadResult.Unavailable("status ${status.value}")
            }
        }

    override suspend fun list(kind: String): ListResult = readCall({ ListResult.Unavailable(it) }) {
        val (status, text) = fetch(HttpMethod.Get, path(kind))
        if (status.isSuccess()) {
            val list = decode<ApiList>(text, IN_ITEM)
            val objects = list.items.mapNotNull { readableObject(kind, it) }
                .map { toStoredObject(kind, it) }
            ListResult.Listed(objects.toImmutableList(), version(list.metadata))
        } else {
            ListResult.Unavailable("status ${status.value}")
        }
    }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult = writeCall {
        when (condition) {
            is WriteCondition.Absent ->
                fetch(HttpMethod.Post, path(key.kind)) { body(key, value, null, writeId) }
            is WriteCondition.AtVersion ->
                fetch(HttpMethod.Put, path(key)) { body(key, value, condition.version, writeId) }
        }
    }

    override suspend fun delete(key: ObjectKey, condition: WriteCondition.AtVersion): WriteResult =
        writeCall {
            fetch(HttpMethod.Delete, path(key)) {
                contentType(ContentType.Application.Json)
                val options = ApiDeleteOptions(ApiPreconditions(condition.version.toString()))
                setBody(json.encodeToString(options))
            }
        }

    override fun watch(kind: String, version: Long): Flow<WatchEvent> = flow {
        val reason =
            try {
                collectWatch(kind, version)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                e.message.orEmpty()
            }
        emit(WatchEvent.Ended(reason))
    }

    override fun close() {
        client.close()
    }

    private suspend fun FlowCollector<WatchEvent>.collectWatch(
        kind: String,
        version: Long,
    ): String {
        val statement = client.prepareGet("${path(kind)}?watch=true&resourceVersion=$version")
        return statement.execute { response ->
            if (!response.status.isSuccess()) return@execute "status ${response.status.value}"
            val lines = response.bodyAsChannel()
            while (true) {
                val line = lines.readUTF8Line() ?: break
                val event = readable(kind) { decode<ApiWatchEvent>(line, IN_EVENT) } ?: continue
                if (event.type !in CHANGES) return@execute "resource version expired"
                readableObject(kind, event.value)?.let { emit(watchEvent(kind, event.type, it)) }
            }
            "stream ended"
        }
    }

    private fun watchEvent(kind: String, type: String, value: ApiObject): WatchEvent =
        if (type == DELETED) {
            val key = ObjectKey(kind, value.metadata.name)
            WatchEvent.Deleted(key, version(value.metadata))
        } else {
            WatchEvent.Put(toStoredObject(kind, value))
        }

    /** Decodes an object, or returns null if it is malformed or no call could name it. */
    private fun readableObject(kind: String, value: JsonElement): ApiObject? = readable(kind) {
        json.decodeFromJsonElement<ApiObject>(value).also {
            require(it.metadata.name.isWellFormed()) { "an unreadable name" }
        }
    }

    /** Decodes with [decode], or returns null for what is malformed, so that the rest counts. */
    private inline fun <R> readable(kind: String, decode: () -> R): R? = try {
        decode()
    } catch (e: IllegalArgumentException) {
        log.info("ignoring a malformed object of kind {}: {}", kind, reason(e))
        null
    }

    private fun reason(cause: Exception) = cause.message.orEmpty().take(MAX_REASON_CHARS)

    /** Sends a request and reads its response; throws [IOException] if that makes no progress. */
    private suspend fun fetch(
        method: HttpMethod,
        url: String,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): TextResponse = coroutineScope {
        val startedAt = TimeSource.Monotonic.markNow()
        val deadline = TransferDeadline(callTimeout, callTimeout)
        val timer = launch {
            while (startedAt.elapsedNow() < deadline.dueAt) {
                delay(deadline.dueAt - startedAt.elapsedNow())
            }
            throw IOException("no progress, given up after ${startedAt.elapsedNow()}")
        }
        val statement = client.prepareRequest(url) {
            this.method = method
            configure()
        }
        val response = statement.execute { response ->
            val body = response.bodyAsChannel()
            val text = Buffer()
            while (!body.isClosedForRead) {
                text.transferFrom(body.readRemaining(TransferDeadline.PROGRESS_BYTES.toLong()))
                deadline.onReceived(text.size.toInt(), startedAt.elapsedNow())
            }
            TextResponse(response.status, text.readString())
        }
        timer.cancel()
        response
    }

    private fun HttpRequestBuilder.body(
        key: ObjectKey,
        value: String,
        version: Long?,
        writeId: String,
    ) {
        contentType(ContentType.Application.Json)
        val annotations = mapOf(WRITE_ID_ANNOTATION to writeId)
        val metadata = ApiMetadata(key.name, version?.toString(), annotations)
        val spec = json.parseToJsonElement(value)
        setBody(json.encodeToString(ApiObject(kind = key.kind, metadata = metadata, spec = spec)))
    }

    private suspend fun <R> readCall(unavailable: (String) -> R, call: suspend () -> R): R = try {
        call()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        unavailable(e.message.orEmpty())
    }

    /** Distinguishes a write that was never sent from one whose response was lost. */
    private suspend fun writeCall(call: suspend () -> TextResponse): WriteResult = try {
        writeResult(call())
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        WriteResult.Refused(e.message.orEmpty())
    } catch (e: ConnectTimeoutException) {
        WriteResult.Refused(e.message.orEmpty())
    } catch (e: Exception) {
        WriteResult.Unknown(e.message.orEmpty())
    }

    private fun writeResult(response: TextResponse): WriteResult {
        val status = response.status
        return when {
            status.isSuccess() -> {
                val written = decode<ApiObject>(response.text, IN_OBJECT)
                WriteResult.Written(version(written.metadata))
            }
            status == HttpStatusCode.Conflict || status == HttpStatusCode.NotFound ->
                WriteResult.Conflict
            status.value in CLIENT_ERRORS -> WriteResult.Refused("status ${status.value}")
            else -> WriteResult.Unknown("status ${status.value}")
        }
    }

    private fun toStoredObject(kind: String, value: ApiObject): StoredObject {
        val writeId = value.metadata.annotations[WRITE_ID_ANNOTATION].orEmpty()
        val key = ObjectKey(kind, value.metadata.name)
        return StoredObject(key, version(value.metadata), writeId, value.spec.toString())
    }

    /**
     * Decodes a response in which the fields of an object lie within [level] arrays and objects. A
     * field that nests too deeply is read as null, so that it costs no other object.
     */
    private inline fun <reified T> decode(text: String, level: Int): T {
        val bounded = withoutDeepValues(text, level)
        if (bounded !== text) {
            log.info("reading a value that nests deeper than {} levels as null", MAX_NESTING)
        }
        return json.decodeFromString(bounded)
    }

    private fun version(metadata: ApiMetadata): Long =
        metadata.resourceVersion?.toLongOrNull() ?: 0L

    private fun path(kind: String): String = "$root/${encodePathSegment(kind)}"

    private fun path(key: ObjectKey): String = "${path(key.kind)}/${encodePathSegment(key.name)}"

    private data class TextResponse(val status: HttpStatusCode, val text: String)

    private companion object {
        val log = LogManager.getLogger(HttpObjectStore::class.java)
        val CLIENT_ERRORS = 400..499
        const val DELETED = "DELETED"
        val CHANGES = setOf("ADDED", "MODIFIED", DELETED)

        /** Characters of a reason in the log. */
        const val MAX_REASON_CHARS = 300

        /** Arrays and objects around the fields of a single object, an item and an event. */
        const val IN_OBJECT = 1
        const val IN_ITEM = 3
        const val IN_EVENT = 2
        val json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
                explicitNulls = false
            }
    }
}
