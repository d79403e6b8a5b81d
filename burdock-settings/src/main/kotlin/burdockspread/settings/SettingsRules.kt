/** Validation rules for settings that their schema does not express. */
package burdockspread.settings

import burdockspread.json.JsonProblem
import com.google.common.net.InetAddresses
import com.google.protobuf.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Collects the validation errors of a settings message with their paths. */
public class SettingsRules {
    private val problems = mutableListOf<JsonProblem>()

    /** Returns the errors found so far. */
    public fun problems(): List<JsonProblem> = problems.toList()

    /** Checks that [value] is not empty. */
    public fun required(path: String, value: String) {
        if (value.isEmpty()) problems += JsonProblem(path, "a value is required")
    }

    /** Checks that [value] is an IP address with a port, such as `127.0.0.1:8080`. */
    public fun address(path: String, value: String) {
        if (value.isEmpty()) return required(path, value)
        if (!isAddress(value)) {
            problems += JsonProblem(path, "\"$value\" is not an IP:port such as 127.0.0.1:8080")
        }
    }

    /** Checks that [value] is a positive duration. */
    public fun positive(path: String, value: Duration) {
        if (value.toKotlinDuration() <= kotlin.time.Duration.ZERO) {
            problems += JsonProblem(path, "must be a positive duration, such as \"0.5s\"")
        }
    }

    /** Checks that [value] is a positive number. */
    public fun positive(path: String, value: Int) {
        if (value <= 0) problems += JsonProblem(path, "must be a positive number")
    }

    /** Checks that [value] is zero or more and finite. */
    public fun notNegative(path: String, value: Double): Unit =
        check(path, value >= 0.0 && value.isFinite(), "must be zero or a positive number")

    /** Reports [message] as an error at [path] unless [holds] is true. */
    public fun check(path: String, holds: Boolean, message: String) {
        if (!holds) problems += JsonProblem(path, message)
    }

    private fun isAddress(value: String): Boolean {
        val ip = value.substringBeforeLast(':', "")
        val port = value.substringAfterLast(':', "").toIntOrNull() ?: return false
        return port in PORTS && InetAddresses.isUriInetAddress(ip)
    }

    private companion object {
        val PORTS = 1..65_535
    }
}

/** Returns this protobuf duration as a Kotlin duration. */
public fun Duration.toKotlinDuration(): kotlin.time.Duration = seconds.seconds + nanos.nanoseconds
