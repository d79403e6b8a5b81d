/** Id of a server-sent event, by which a caller states what it has received. */
package burdockspread.journal

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.id.GenerationId
import burdockspread.id.HostId
import java.net.URLDecoder
import java.net.URLEncoder

/**
 * What a caller has received: the first [offset] tokens of one continuation of a generation.
 *
 * The text form is `1:generation:epoch:nonce:host:offset` with names percent-encoded and the nonce
 * in hexadecimal digits. It is safe in an HTTP header.
 */
public data class EventId(
    public val generation: GenerationId,
    public val branch: BranchId,
    public val offset: Int,
) {
    /** Returns the text form. */
    public fun format(): String = listOf(
        VERSION,
        encode(generation.value),
        branch.epoch.toString(),
        branch.nonce.toULong().toString(HEX),
        encode(branch.host.value),
        offset.toString(),
    ).joinToString(SEPARATOR)

    public companion object {
        private const val VERSION = "1"
        private const val SEPARATOR = ":"
        private const val FIELDS = 6
        private const val HEX = 16
        private const val MAX_CHARS = 1024

        /** Parses the text form. Returns MALFORMED_REQUEST for any other text. */
        public fun parse(text: String): Either<Refusal, EventId> = either {
            ensure(text.length <= MAX_CHARS) { malformed("longer than $MAX_CHARS characters") }
            val fields = text.split(SEPARATOR)
            ensure(fields.size == FIELDS) { malformed("wrong number of fields") }
            val remaining = fields.iterator()
            ensure(remaining.next() == VERSION) { malformed("unknown version") }
            val generation = ensureNotNull(decode(remaining.next())) { malformed("generation") }
            val epoch = ensureNotNull(remaining.next().toLongOrNull()) { malformed("epoch") }
            val nonce = ensureNotNull(remaining.next().toULongOrNull(HEX)) { malformed("nonce") }
            val host = ensureNotNull(decode(remaining.next())) { malformed("host") }
            val offset = ensureNotNull(remaining.next().toIntOrNull()) { malformed("offset") }
            ensure(epoch > 0) { malformed("epoch") }
            ensure(offset >= 0) { malformed("offset") }
            val branch = BranchId(epoch, HostId(host), nonce.toLong())
            EventId(GenerationId(generation), branch, offset)
        }

        private fun malformed(part: String) =
            Refusal(ErrorCode.MALFORMED_REQUEST, "the last event id is malformed: $part")

        private fun encode(name: String) = URLEncoder.encode(name, Charsets.UTF_8)

        private fun decode(text: String): String? =
            runCatching { URLDecoder.decode(text, Charsets.UTF_8) }
                .getOrNull()
                ?.takeIf { it.isNotEmpty() }
    }
}
