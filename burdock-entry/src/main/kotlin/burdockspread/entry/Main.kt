/** Starts `burdock-entry`. */
package burdockspread.entry

import burdockspread.settings.DaemonCommand
import burdockspread.settings.entrySettingsLoader
import burdockspread.settings.runDaemon
import com.github.ajalt.clikt.core.main

/** Entry point of `burdock-entry`. */
public fun main(args: Array<String>) {
    val about = "Serves callers: generations, plain services, and its share of the spread."
    DaemonCommand("burdock-entry", about, entrySettingsLoader) { settings, _ ->
        val process = EntryProcess(settings)
        runDaemon(process::start, process::drain, process::awaitStop)
    }.main(args)
}
