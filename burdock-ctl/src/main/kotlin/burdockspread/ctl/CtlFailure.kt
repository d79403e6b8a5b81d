/** Command failures and their exit codes. */
package burdockspread.ctl

import burdockspread.error.ErrorCode
import burdockspread.settings.ExitCode
import com.github.ajalt.clikt.core.CliktError

/** Ends a command with a message on standard error and an exit code. */
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
            val title = "error ${code.number} ${code.name}: ${code.meaning}"
            return CtlFailure((listOf(title) + lines.map { "  $it" }).joinToString("\n"), exit)
        }

        fun storeUnavailable(reason: String): CtlFailure =
            refused(ErrorCode.STORE_UNAVAILABLE, listOf(reason))

        fun invalidSettings(lines: List<String>): CtlFailure =
            refused(ErrorCode.SETTINGS_INVALID, lines)

        fun generic(message: String): CtlFailure = CtlFailure(message, ExitCode.REFUSED)
    }
}
