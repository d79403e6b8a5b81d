/** Routes of the caller port. */
package burdockspread.http

import burdockspread.drain.DrainGate
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.RequestId
import burdockspread.observe.EntryListener
import burdockspread.request.CallerRequest
import burdockspread.request.CompletionRequest
import burdockspread.request.ErrorResult
import burdockspread.request.GenerationResult
import burdockspread.request.RequestResult
import burdockspread.request.ServiceAnswer
import burdockspread.stream.AnswerEnd
import burdockspread.stream.AnswerPart
import burdockspread.stream.AnswerReader
import burdockspread.target.engine.CompletionApi
import burdockspread.time.TimeSource
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlin.time.Duration

/** Endpoints for callers, whose requests are handled by [serve], the interceptor chain. */
internal class CallerRoutes(
    private val parser: RequestParser,
    private val gate: DrainGate,
    private val listener: EntryListener,
    private val time: TimeSource,
    private val writeTimeout: Duration,
    private val serve: suspend (CallerRequest) -> RequestResult,
) {
    /** Adds the routes to [route]. */
    fun install(route: Route) {
        CompletionApi.entries.forEach { api ->
            route.post(api.path) { gate.enter().use { completion(call, api) } }
        }
        route.post("/v1/services/{service}/{call}") { gate.enter().use { service(call) } }
    }

    private suspend fun completion(call: ApplicationCall, api: CompletionApi) {
        val id = named(call)
        parser.completion(call, api, id, time.now()).fold({ refuse(call, id, it) }) { request ->
            when (val result = serve(request)) {
                is ErrorResult -> refuse(call, id, result.refusal)
                is GenerationResult -> result.reader.use { answer(call, request, it) }
                is ServiceAnswer -> error("unexpected service response to a completion request")
            }
        }
    }

    private suspend fun service(call: ApplicationCall) {
        val id = named(call)
        parser.service(call, id, time.now()).fold({ refuse(call, id, it) }) { request ->
            when (val result = serve(request)) {
                is ErrorResult -> refuse(call, id, result.refusal)
                is ServiceAnswer -> {
                    val status = HttpStatusCode.fromValue(result.status)
                    call.respondText(result.body, ContentType.Application.Json, status)
                }
                is GenerationResult -> error("unexpected generation for a service call")
            }
        }
    }

    private suspend fun answer(
        call: ApplicationCall,
        request: CompletionRequest,
        reader: AnswerReader,
    ) {
        val format = AnswerFormat(request.body, reader.generation)
        if (!request.body.stream) return whole(call, request, reader, format)
        call.response.header(HttpHeaders.CacheControl, "no-store")
        call.respondBytesWriter(ContentType.Text.EventStream) {
            val inTime = EventStream(this, format, request.id, writeTimeout).write(reader)
            if (!inTime) {
                listener.refused(request.id, null, EventStream.SLOW_READER)
                cancel(null)
            }
        }
    }

    private suspend fun whole(
        call: ApplicationCall,
        request: CompletionRequest,
        reader: AnswerReader,
        format: AnswerFormat,
    ) {
        val text = StringBuilder()
        var tokens = 0
        reader.parts().collect { part ->
            when (part) {
                is AnswerPart.Tokens -> {
                    part.tokens.forEach(text::append)
                    tokens += part.tokens.size
                }
                is AnswerPart.End ->
                    when (val end = part.end) {
                        is AnswerEnd.Broken -> refuse(call, request.id, end.refusal)
                        is AnswerEnd.Whole -> {
                            val body = format.whole("$text", end.reason.wireName, tokens)
                            call.respondText(body, ContentType.Application.Json)
                        }
                    }
            }
        }
    }

    private fun named(call: ApplicationCall): RequestId {
        val id = parser.requestId(call)
        call.response.header(RequestParser.REQUEST_ID, id.value)
        return id
    }

    /** Responds with [refusal] as an error. */
    suspend fun refuse(call: ApplicationCall, id: RequestId, refusal: Refusal) {
        listener.refused(id, null, refusal)
        refusal.retryAfter?.let {
            call.response.header(HttpHeaders.RetryAfter, maxOf(1, it.inWholeSeconds).toString())
        }
        val status = HttpStatusCode.fromValue(refusal.code.httpStatus)
        call.respondText(errorJson(refusal, id), ContentType.Application.Json, status)
    }

    /** Responds to a request for an unknown path. */
    suspend fun refusePath(call: ApplicationCall) {
        refuse(call, named(call), Refusal(ErrorCode.UNKNOWN_PATH, "no such path or method"))
    }
}
