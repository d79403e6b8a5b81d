/** Starts `burdock-steward`. */
package burdockspread.steward

import burdockspread.settings.DaemonCommand
import burdockspread.settings.runDaemon
import burdockspread.settings.stewardSettingsLoader
import com.github.ajalt.clikt.core.main

/** Entry point of `burdock-steward`. */
public fun main(args: Array<String>) {
    val about = "Holds the placement duty of its failure domain and gives orders to engines."
    DaemonCommand("burdock-steward", about, stewardSettingsLoader) { settings, _ ->
        val process = StewardProcess(settings)
        runDaemon(process::start, process::stop, process::awaitStop)
    }.main(args)
}
