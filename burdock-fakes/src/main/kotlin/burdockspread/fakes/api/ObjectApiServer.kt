/** Fake of the platform's versioned object API over HTTP. */
package burdockspread.fakes.api

import burdockspread.fakes.store.FakeObjectStore
import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put

/**
 * Serves a [FakeObjectStore] over HTTP on [port] of the loopback address.
 *
 * `POST /fault/{name}` sets the [StoreFault] of all later calls. The connections of lost and late
 * calls stay open without a response, as on a failed platform.
 */
public class ObjectApiServer(port: Int, private val store: FakeObjectStore = FakeObjectStore()) {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, port, "127.0.0.1") {
            routing {
                post("/fault/{name}") { setFault() }
                post("$ROOT/{kind}") { create() }
                get("$ROOT/{kind}") { listOrWatch() }
                get("$ROOT/{kind}/{name}") { read() }
                put("$ROOT/{kind}/{name}") { replace() }
                delete("$ROOT/{kind}/{name}") { remove() }
            }
        }

    /** Starts the server without blocking. */
    public fun start() {
        server.start(wait = false)
    }

    /** Stops the server. */
    public fun stop() {
        server.stop(0, 0)
    }

    private suspend fun RoutingContext.setFault() {
        val fault = StoreFault.valueOf(name().uppercase())
        store.faults = StoreFaults { fault }
        if (fault == StoreFault.NONE) store.deliverDelayedCalls()
        call.respondText(fault.name)
    }

    private suspend fun RoutingContext.read() {
        when (val result = store.get(key())) {
            is ReadResult.Found -> call.respondJson(HttpStatusCode.OK, toJson(result.value))
            is ReadResult.Missing -> call.respondJson(HttpStatusCode.NotFound, status("NotFound"))
            is ReadResult.Unavailable -> awaitCancellation()
        }
    }

    private suspend fun RoutingContext.listOrWatch() {
        if (call.request.queryParameters["watch"] == "true") return watch()
        when (val result = store.list(kind())) {
            is ListResult.Listed -> call.respondJson(HttpStatusCode.OK, toJson(result))
            is ListResult.Partial, is ListResult.Unavailable -> awaitCancellation()
        }
    }

    private suspend fun RoutingContext.watch() {
        val from = call.request.queryParameters["resourceVersion"]?.toLong() ?: 0
        call.respondTextWriter(ContentType.Application.Json) {
            flush()
            store.watch(kind(), from).collect { event ->
                if (store.faults.next() != StoreFault.NONE) awaitCancellation()
                write(toJson(event).toString() + "\n")
                flush()
            }
        }
    }

    private suspend fun RoutingContext.create() {
        val body = body()
        val name = body.metadata().getValue("name").jsonPrimitive.content
        write(ObjectKey(kind(), name), body, WriteCondition.Absent)
    }

    private suspend fun RoutingContext.replace() {
        val body = body()
        val version = body.metadata().getValue("resourceVersion").jsonPrimitive.content.toLong()
        write(key(), body, WriteCondition.AtVersion(version))
    }

    private suspend fun RoutingContext.write(
        key: ObjectKey,
        body: JsonObject,
        condition: WriteCondition,
    ) {
        val annotations = body.metadata()["annotations"]?.jsonObject
        val writeId = annotations?.get(WRITE_ID)?.jsonPrimitive?.content.orEmpty()
        val spec = body["spec"].toString()
        respond(store.put(key, spec, condition, writeId), key, body["spec"], writeId)
    }

    private suspend fun RoutingContext.remove() {
        val options = body().getValue("preconditions").jsonObject
        val version = options.getValue("resourceVersion").jsonPrimitive.content.toLong()
        respond(store.delete(key(), WriteCondition.AtVersion(version)), key(), null, "")
    }

    private suspend fun RoutingContext.respond(
        result: WriteResult,
        key: ObjectKey,
        spec: JsonElement?,
        writeId: String,
    ) {
        when (result) {
            is WriteResult.Written -> {
                val value = StoredObject(key, result.version, writeId, (spec ?: EMPTY).toString())
                call.respondJson(HttpStatusCode.OK, toJson(value))
            }
            is WriteResult.Conflict -> call.respondJson(HttpStatusCode.Conflict, status("Conflict"))
            is WriteResult.Refused ->
                call.respondJson(HttpStatusCode.TooManyRequests, status("TooManyRequests"))
            is WriteResult.Unknown -> awaitCancellation()
        }
    }

    private suspend fun RoutingContext.body(): JsonObject =
        Json.parseToJsonElement(call.receiveText()).jsonObject

    private fun JsonObject.metadata(): JsonObject = getValue("metadata").jsonObject

    private fun RoutingContext.kind(): String = call.parameters["kind"].orEmpty()

    private fun RoutingContext.name(): String = call.parameters["name"].orEmpty()

    private fun RoutingContext.key(): ObjectKey = ObjectKey(kind(), name())

    private suspend fun ApplicationCall.respondJson(status: HttpStatusCode, value: JsonObject) {
        respondText(value.toString(), ContentType.Application.Json, status)
    }

    private fun status(reason: String): JsonObject = buildJsonObject {
        put("kind", "Status")
        put("reason", reason)
    }

    private fun toJson(list: ListResult.Listed): JsonObject = buildJsonObject {
        put("metadata", buildJsonObject { put("resourceVersion", "${list.version}") })
        put("items", buildJsonArray { list.objects.forEach { add(toJson(it)) } })
    }

    private fun toJson(event: WatchEvent): JsonObject = when (event) {
        is WatchEvent.Put -> event("MODIFIED", toJson(event.value))
        is WatchEvent.Deleted ->
            event("DELETED", toJson(StoredObject(event.key, event.version, "", "{}")))
        is WatchEvent.Progress -> event("BOOKMARK", status("no change"))
        is WatchEvent.Ended -> event("ERROR", status(event.reason))
    }

    private fun event(type: String, value: JsonObject): JsonObject = buildJsonObject {
        put("type", type)
        put("object", value)
    }

    private fun toJson(value: StoredObject): JsonObject = buildJsonObject {
        put("apiVersion", "burdockspread.io/v1")
        put("kind", value.key.kind)
        put(
            "metadata",
            buildJsonObject {
                put("name", value.key.name)
                put("resourceVersion", "${value.version}")
                put("annotations", buildJsonObject { put(WRITE_ID, value.writeId) })
            },
        )
        put("spec", Json.parseToJsonElement(value.value))
    }

    private companion object {
        const val ROOT = "/apis/burdockspread.io/v1/namespaces/{namespace}"
        const val WRITE_ID = "burdockspread.io/write-id"
        val EMPTY = JsonObject(emptyMap())
    }
}
