/** Parsing of HTTP requests from callers. */
package burdockspread.http

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.IdempotencyKey
import burdockspread.id.RequestId
import burdockspread.id.ServiceId
import burdockspread.journal.EventId
import burdockspread.request.CompletionRequest
import burdockspread.request.ServiceRequest
import burdockspread.target.engine.CompletionApi
import burdockspread.target.engine.CompletionBody
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import java.util.UUID
import kotlin.time.Instant

/** Parses the headers and bodies of callers' requests. */
internal class RequestParser(private val bodyReader: BodyReader) {
    /** Returns the request id that the caller sent, or a new one. */
    fun requestId(call: ApplicationCall): RequestId {
        val given = call.request.header(REQUEST_ID) ?: call.request.header(IDEMPOTENCY_KEY)
        return RequestId(given?.takeIf { NAME_PATTERN.matches(it) } ?: UUID.randomUUID().toString())
    }

    /** Parses a completion request. */
    suspend fun completion(
        call: ApplicationCall,
        api: CompletionApi,
        id: RequestId,
        now: Instant,
    ): Either<Refusal, CompletionRequest> = either {
        val last = call.request.header(LAST_EVENT_ID)?.let { EventId.parse(it).bind() }
        val text = bodyReader.read(call.request.receiveChannel()).bind()
        val body = CompletionBody.parse(api, text).bind()
        CompletionRequest(id, apiKey(call), now, body, last, sendHint(call) == SendHint.REPEATED)
    }

    /** Parses a call to a plain service. */
    suspend fun service(
        call: ApplicationCall,
        id: RequestId,
        now: Instant,
    ): Either<Refusal, ServiceRequest> = either {
        val key = call.request.header(IDEMPOTENCY_KEY)
        ensure(key == null || NAME_PATTERN.matches(key)) {
            Refusal(
                ErrorCode.MALFORMED_REQUEST,
                "$IDEMPOTENCY_KEY: must be 1 to 200 visible ASCII characters",
            )
        }
        val text = bodyReader.read(call.request.receiveChannel()).bind()
        ServiceRequest(
            id,
            apiKey(call),
            now,
            ServiceId(call.parameters["service"].orEmpty()),
            call.parameters["call"].orEmpty(),
            text,
            key?.let { IdempotencyKey(it) },
            sendHint(call) == SendHint.FIRST,
        )
    }

    private fun sendHint(call: ApplicationCall): SendHint =
        SendHint.of(call.request.header(IDEMPOTENCY_ATTEMPT))

    private fun apiKey(call: ApplicationCall): String? = call.request
        .header(HttpHeaders.Authorization)
        ?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
        ?.substring(BEARER.length)
        ?.trim()

    internal companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val IDEMPOTENCY_ATTEMPT = "Idempotency-Attempt"
        const val LAST_EVENT_ID = "Last-Event-ID"
        const val BEARER = "Bearer "
        val NAME_PATTERN = Regex("""[\x21-\x7e]{1,200}""")
    }
}
