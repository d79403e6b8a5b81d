/** The operators' command line. */
package burdockspread.ctl

import kotlin.system.exitProcess

/** Runs one command and exits with its code from docs/ERRORS.md. */
public fun main(args: Array<String>) {
    val status = RealCtlEnvironment().use { BurdockCtl.run(it, args.toList()) }
    exitProcess(status)
}
