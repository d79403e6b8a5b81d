/** Entry point of the operator CLI. */
package burdockspread.ctl

import kotlin.system.exitProcess

/** Runs one command and exits with its exit code; docs/ERRORS.md lists the codes. */
public fun main(args: Array<String>) {
    val status = RealCtlEnvironment().use { BurdockCtl.run(it, args.toList()) }
    exitProcess(status)
}
