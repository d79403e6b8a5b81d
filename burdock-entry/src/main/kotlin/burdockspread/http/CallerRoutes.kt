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
import burdockspread.request.ServiceResponse
import burdockspread.stream.ResponseEnd
import burdockspread.stream.ResponsePart
import burdockspread.stream.ResponseReader
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
        val id = assignRequestId(call)
        parser.completion(call, api, id, time.now()).fold({ refuse(call, id, it) }) { request ->
            when (val result = serve(request)) {
                is ErrorResult -> refuse(call, id, result.refusal)
                is GenerationResult -> result.reader.use { respond(call, request, it) }
                is ServiceResponse -> error("unexpected service response to a completion request")
            }
        }
    }

    private suspend fun service(call: ApplicationCall) {
        val id = assignRequestId(call)
        parser.service(call, id, time.now()).fold({ refuse(call, id, it) }) { request ->
            when (val result = serve(request)) {
                is ErrorResult -> refuse(call, id, result.refusal)
                is ServiceResponse -> {
                    val status = HttpStatusCode.fromValue(result.status)
                    call.respondText(result.body, ContentType.Application.Json, status)
                }
                is GenerationResult -> error("unexpected generation for a service call")
            }
        }
    }

    private suspend fun respond(
        call: ApplicationCall,
        request: CompletionRequest,
        reader: ResponseReader,
    ) {
        val format = ResponseFormatter(request.body, reader.generation)
        if (!request.body.stream) return respondComplete(call, request, reader, format)
        call.response.header(HttpHeaders.CacheControl, "no-store")
        call.respondBytesWriter(ContentType.Text.EventStream) {
            val inTime = EventStreamWriter(this, format, request.id, writeTimeout).write(reader)
            if (!inTime) {
                listener.onRefused(request.id, null, EventStreamWriter.SLOW_READER)
                cancel(null)
            }
        }
    }

    private suspend fun respondComplete(
        call: ApplicationCall,
        request: CompletionRequest,
        reader: ResponseReader,
        format: ResponseFormatter,
    ) {
        val text = StringBuilder()
        var tokens = 0
        reader.parts().collect { part ->
            when (part) {
                is ResponsePart.Tokens -> {
                    part.tokens.forEach(text::append)
                    tokens += part.tokens.size
                }
                is ResponsePart.End ->
                    when (val end = part.end) {
                        is ResponseEnd.Aborted -> refuse(call, request.id, end.refusal)
                        is ResponseEnd.Completed -> {
                            val body = format.complete("$text", end.reason.wireName, tokens)
                            call.respondText(body, ContentType.Application.Json)
                        }
                    }
            }
        }
    }

    private fun assignRequestId(call: ApplicationCall): RequestId {
        val id = parser.requestId(call)
        call.response.header(RequestParser.REQUEST_ID, id.value)
        return id
    }

    /** Responds with [refusal] as an error. */
    suspend fun refuse(call: ApplicationCall, id: RequestId, refusal: Refusal) {
        listener.onRefused(id, null, refusal)
        refusal.retryAfter?.let {
            call.response.header(HttpHeaders.RetryAfter, maxOf(1, it.inWholeSeconds).toString())
        }
        val status = HttpStatusCode.fromValue(refusal.code.httpStatus)
        call.respondText(errorJson(refusal, id), ContentType.Application.Json, status)
    }

    /** Responds to a request for an unknown path. */
    suspend fun refuseUnknownPath(call: ApplicationCall) {
        refuse(
            call,
            assignRequestId(call),
            Refusal(ErrorCode.UNKNOWN_PATH, "no such path or method"),
        )
    }
}
