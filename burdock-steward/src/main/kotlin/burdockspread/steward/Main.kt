/** Main function of `burdock-steward`. */
package burdockspread.steward

import burdockspread.settings.DaemonCommand
import burdockspread.settings.runDaemon
import burdockspread.settings.stewardSettingsLoader
import com.github.ajalt.clikt.core.main

/** Runs `burdock-steward`. */
public fun main(args: Array<String>) {
    val description = "Places models on the engines of its failure domain while it holds the lease."
    DaemonCommand("burdock-steward", description, stewardSettingsLoader) { settings, _ ->
        val process = StewardProcess(settings)
        runDaemon(process::start, process::stop, process::awaitStop)
    }.main(args)
}
