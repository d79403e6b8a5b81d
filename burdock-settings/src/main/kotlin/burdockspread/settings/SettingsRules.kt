/** Rules that settings must meet beyond their schema. */
package burdockspread.settings

import burdockspread.json.JsonProblem
import com.google.common.net.InetAddresses
import com.google.protobuf.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Collects what is wrong in a settings message, with the path of each problem. */
public class SettingsRules {
    private val problems = mutableListOf<JsonProblem>()

    /** Problems found so far. */
    public fun problems(): List<JsonProblem> = problems.toList()

    /** Demands that [value] is not empty. */
    public fun required(path: String, value: String) {
        if (value.isEmpty()) problems += JsonProblem(path, "a value is needed")
    }

    /** Demands an IP address and a port, as in `127.0.0.1:8080`. */
    public fun address(path: String, value: String) {
        if (value.isEmpty()) return required(path, value)
        if (!isAddress(value)) {
            problems += JsonProblem(path, "\"$value\" is not an IP:port such as 127.0.0.1:8080")
        }
    }

    /** Demands a duration greater than zero. */
    public fun positive(path: String, value: Duration) {
        if (value.toKotlinDuration() <= kotlin.time.Duration.ZERO) {
            problems += JsonProblem(path, "a duration above zero is needed, as in \"0.5s\"")
        }
    }

    /** Demands a number greater than zero. */
    public fun positive(path: String, value: Int) {
        if (value <= 0) problems += JsonProblem(path, "a number above zero is needed")
    }

    /** Demands that [holds] is true. */
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

/** This schema duration as a Kotlin duration. */
public fun Duration.toKotlinDuration(): kotlin.time.Duration = seconds.seconds + nanos.nanoseconds
