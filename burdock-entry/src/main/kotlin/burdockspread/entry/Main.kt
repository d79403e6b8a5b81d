/** Main function of `burdock-entry`. */
package burdockspread.entry

import burdockspread.settings.DaemonCommand
import burdockspread.settings.entrySettingsLoader
import burdockspread.settings.runDaemon
import com.github.ajalt.clikt.core.main

/** Runs `burdock-entry`. */
public fun main(args: Array<String>) {
    val description = "Serves generations and plain services, and gossips with other entry hosts."
    DaemonCommand("burdock-entry", description, entrySettingsLoader) { settings, _ ->
        val process = EntryProcess(settings)
        runDaemon(process::start, process::drain, process::awaitStop)
    }.main(args)
}
