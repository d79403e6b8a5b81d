/** Main function of `burdock-entry`. */
package burdockspread.entry

import burdockspread.settings.DaemonCommand
import burdockspread.settings.entrySettingsLoader
import burdockspread.settings.runDaemon
import com.github.ajalt.clikt.core.main

/** Runs `burdock-entry`. */
public fun main(args: Array<String>) {
    val about = "Serves generations and plain services to callers, and gossips with other hosts."
    DaemonCommand("burdock-entry", about, entrySettingsLoader) { settings, _ ->
        val process = EntryProcess(settings)
        runDaemon(process::start, process::drain, process::awaitStop)
    }.main(args)
}
