/** Collector of the validation problems of one section. */
package burdockspread.document

import arrow.core.NonEmptyList
import arrow.core.toNonEmptyListOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import com.google.protobuf.Duration as WireDuration

/** Validation problems of one section, in the order in which they were found. */
internal class ProblemList(private val section: String) {
    private val problems = ArrayList<DocumentProblem>()

    fun add(path: String, message: String) {
        problems += DocumentProblem(section, path, message)
    }

    fun requireThat(condition: Boolean, path: String, message: () -> String) {
        if (!condition) add(path, message())
    }

    fun requireName(value: String, path: String) {
        val message = "\"$value\" is not a name of lower-case letters, digits, dots and hyphens"
        requireThat(NAME.matches(value), path) { message }
    }

    fun requireAddress(value: String, path: String) {
        requireThat(isAddress(value), path) { "\"$value\" is not IP:port" }
    }

    fun readDuration(value: WireDuration, range: ClosedRange<Duration>, path: String): Duration {
        val result = value.seconds.seconds + value.nanos.nanoseconds
        requireThat(result in range, path) {
            "$result is outside ${range.start} to ${range.endInclusive}"
        }
        return result
    }

    fun toNonEmptyList(): NonEmptyList<DocumentProblem>? = problems.toNonEmptyListOrNull()

    private companion object {
        val NAME = Regex("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
    }
}

private const val MAX_PORT = 65_535
private const val MAX_OCTET = 255
private const val OCTETS = 4
private val V6_CHARS = Regex("[0-9a-fA-F:]{2,39}")

/** Returns whether [value] is an IPv4 address, or an IPv6 address in brackets, with a port. */
internal fun isAddress(value: String): Boolean {
    val ip = value.substringBeforeLast(':', "")
    val port = value.substringAfterLast(':', "").toIntOrNull() ?: return false
    if (port !in 1..MAX_PORT) return false
    if (ip.startsWith("[") && ip.endsWith("]")) return V6_CHARS.matches(ip.drop(1).dropLast(1))
    val octets = ip.split('.')
    return octets.size == OCTETS && octets.all { isOctet(it) }
}

private fun isOctet(text: String): Boolean {
    val value = text.toIntOrNull() ?: return false
    return value in 0..MAX_OCTET && text == value.toString()
}
