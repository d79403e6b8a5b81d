/** Fake of a batching model engine with the completions API that engines publish. */
package burdockspread.fakes.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.io.Writer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Serves `/v1/completions` and `/v1/chat/completions` as event streams on [port] of the loopback
 * address, `/metrics`, and `/admin/orders`; `POST /fault/{name}` sets an [EngineFault].
 */
public class EngineServer(port: Int, private val options: EngineOptions = EngineOptions()) {
    private val model = TextModel(options.salt)
    private val slots = BatchSlots(options.slots)
    private val cache = PrefixCache(options.cacheBlocks)
    private val fault = AtomicReference(EngineFault.NONE)
    private val fencingToken = AtomicLong()
    private val models = ConcurrentHashMap<String, String>()
    private val generated = AtomicLong()
    private val requests = AtomicInteger()

    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, port, "127.0.0.1") {
            routing {
                post("/fault/{name}") { setFault() }
                post("/v1/completions") { complete(chat = false) }
                post("/v1/chat/completions") { complete(chat = true) }
                post("/admin/orders") { handleOrder() }
                get("/admin/state") { call.respondText(stateJson(), ContentType.Application.Json) }
                get("/metrics") { call.respondText(metricsText()) }
                get("/health") { call.respondText("ok") }
            }
        }

    /** Starts the server without blocking. */
    public fun start() {
        server.start(wait = false)
    }

    /** Stops the server and closes its connections. */
    public fun stop() {
        server.stop(0, 0)
    }

    /** Applies a fault to running and new generations. */
    public fun injectFault(next: EngineFault) {
        fault.set(next)
    }

    private suspend fun RoutingContext.setFault() {
        injectFault(EngineFault.valueOf(call.parameters["name"].orEmpty().uppercase()))
        call.respondText(fault.get().name)
    }

    private suspend fun RoutingContext.complete(chat: Boolean) {
        requests.incrementAndGet()
        if (fault.get() == EngineFault.ERROR) {
            call.respondText("fault", status = HttpStatusCode.InternalServerError)
            return
        }
        val body = Json.parseToJsonElement(call.receiveText()).jsonObject
        val prompt = if (chat) chatPrompt(body) else body.text("prompt")
        val priority = body["priority"]?.jsonPrimitive?.int ?: 0
        val count = body["max_tokens"]?.jsonPrimitive?.int ?: DEFAULT_TOKENS
        call.respondTextWriter(ContentType.Text.EventStream) {
            slots.withSlot(priority) { stream(this, chat, prompt, count) }
        }
    }

    private suspend fun stream(out: Writer, chat: Boolean, prompt: String, count: Int) {
        val cached = cache.matchAndInsert(prompt)
        delay(options.prefillPerChar * (prompt.length - cached))
        val text = StringBuilder(prompt)
        for (i in 1..count) {
            val activeFault = awaitToken()
            if (activeFault == EngineFault.SHORT && i > SHORT_TOKENS) return
            val token = model.next(text).also(text::append)
            generated.incrementAndGet()
            val repeats = if (activeFault == EngineFault.RESEND) 2 else 1
            val reason = if (i == count) "length" else null
            repeat(repeats) { out.event(chunk(chat, token, i, prompt.length, cached, reason)) }
        }
        out.event("[DONE]")
    }

    private suspend fun awaitToken(): EngineFault {
        val activeFault = fault.get()
        when (activeFault) {
            EngineFault.FROZEN -> awaitCancellation()
            EngineFault.SLOW -> delay(options.tokenInterval * SLOW_FACTOR)
            else -> delay(options.tokenInterval)
        }
        return activeFault
    }

    private fun Writer.event(data: String) {
        write("data: $data\n\n")
        flush()
    }

    private fun chunk(
        chat: Boolean,
        token: String,
        index: Int,
        promptChars: Int,
        cached: Int,
        reason: String?,
    ): String {
        val tokenJson = JsonPrimitive(token)
        val content = if (chat) """"delta":{"content":$tokenJson}""" else """"text":$tokenJson"""
        val finish = reason?.let { "\"$it\"" }
        val usage =
            """{"prompt_tokens":$promptChars,"completion_tokens":$index,""" +
                """"prompt_tokens_details":{"cached_tokens":$cached}}"""
        return """{"choices":[{"index":0,$content,"finish_reason":$finish}],"usage":$usage}"""
    }

    private fun chatPrompt(body: JsonObject): String =
        body.getValue("messages").jsonArray.joinToString("") { it.jsonObject.text("content") }

    private fun JsonObject.text(key: String): String = getValue(key).jsonPrimitive.content

    /** Loads or unloads models; rejects a stale fencing token if [EngineOptions.checksFencing]. */
    private suspend fun RoutingContext.handleOrder() {
        val body = Json.parseToJsonElement(call.receiveText()).jsonObject
        val token = body["fencing_token"]?.jsonPrimitive?.long ?: 0
        val newestToken = fencingToken.accumulateAndGet(token, ::maxOf)
        if (options.checksFencing && token < newestToken) {
            call.respondText("fenced by token $newestToken", status = HttpStatusCode.Conflict)
            return
        }
        val desired = body.getValue("desired").jsonObject
        desired["load"]?.let { models[it.jsonPrimitive.content] = desired.text("version") }
        desired["unload"]?.let { models.remove(it.jsonPrimitive.content) }
        call.respondText("{}", ContentType.Application.Json)
    }

    private fun stateJson(): String {
        val servedModels = models.entries.joinToString { """"${it.key}":"${it.value}"""" }
        return """{"models":{$servedModels}}"""
    }

    private fun metricsText(): String =
        """
        vllm:num_requests_running ${slots.running}
        vllm:num_requests_waiting ${slots.waiting}
        vllm:generation_tokens_total ${generated.get()}
        vllm:request_total ${requests.get()}
        """.trimIndent() + "\n"

    private companion object {
        const val DEFAULT_TOKENS = 16
        const val SHORT_TOKENS = 5
        const val SLOW_FACTOR = 20
    }
}
