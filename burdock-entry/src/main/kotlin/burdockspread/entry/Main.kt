/** Main function of `burdock-entry`. */
package burdockspread.entry

import burdockspread.settings.daemonMain
import burdockspread.settings.entrySettingsLoader
import burdockspread.settings.runDaemon

/** Runs `burdock-entry`. */
public fun main(args: Array<String>) {
    val description = "Serves generations and plain services, and gossips with other entry hosts."
    daemonMain(args, "burdock-entry", description, entrySettingsLoader) { settings, _ ->
        val process = EntryProcess(settings)
        runDaemon(process::start, process::drain, process::awaitStop)
    }
}
