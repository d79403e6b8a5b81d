/** Reading of request bodies with size and time limits. */
package burdockspread.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** Reads request bodies of at most [maxBytes] within [timeout]. */
internal class BodyReader(private val maxBytes: Int, private val timeout: Duration) {
    /** Reads the text of [channel], or returns the reason for rejecting it. */
    suspend fun read(channel: ByteReadChannel): Either<Refusal, String> =
        withTimeoutOrNull(timeout) { readWithin(channel) }
            ?: Refusal(ErrorCode.REQUEST_TIMEOUT, "body not complete within $timeout").left()

    private suspend fun readWithin(channel: ByteReadChannel): Either<Refusal, String> {
        val buffer = ByteArray(BUFFER_BYTES)
        val body = ByteArrayOutputStream()
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) return body.toString(Charsets.UTF_8).right()
            body.write(buffer, 0, count)
            if (body.size() > maxBytes) {
                return Refusal(ErrorCode.BODY_TOO_LARGE, "body exceeds $maxBytes bytes").left()
            }
        }
    }

    private companion object {
        const val BUFFER_BYTES = 8_192
    }
}
