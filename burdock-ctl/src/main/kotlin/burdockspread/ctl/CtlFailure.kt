/** Failures of commands with their exit codes. */
package burdockspread.ctl

import burdockspread.error.ErrorCode
import burdockspread.settings.ExitCode
import com.github.ajalt.clikt.core.CliktError

/** Ends a command with a message on the error stream. */
internal class CtlFailure private constructor(message: String, exit: ExitCode) :
    CliktError(message, statusCode = exit.status) {
    companion object {
        fun refused(code: ErrorCode, lines: List<String>): CtlFailure {
            val exit = when (code) {
                ErrorCode.STORE_UNAVAILABLE, ErrorCode.WRITE_UNRESOLVED ->
                    ExitCode.STORE_UNAVAILABLE
                ErrorCode.SETTINGS_INVALID -> ExitCode.SETTINGS_INVALID
                else -> ExitCode.REFUSED
            }
            val head = "error ${code.number} ${code.name}: ${code.meaning}"
            return CtlFailure((listOf(head) + lines.map { "  $it" }).joinToString("\n"), exit)
        }

        fun storeUnavailable(reason: String): CtlFailure =
            refused(ErrorCode.STORE_UNAVAILABLE, listOf(reason))

        fun settings(lines: List<String>): CtlFailure = refused(ErrorCode.SETTINGS_INVALID, lines)

        fun plain(message: String): CtlFailure = CtlFailure(message, ExitCode.REFUSED)
    }
}
