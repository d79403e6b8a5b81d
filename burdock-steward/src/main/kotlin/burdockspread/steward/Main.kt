/** Main function of `burdock-steward`. */
package burdockspread.steward

import burdockspread.settings.daemonMain
import burdockspread.settings.runDaemon
import burdockspread.settings.stewardSettingsLoader

/** Runs `burdock-steward`. */
public fun main(args: Array<String>) {
    val description = "Places models on the engines of its failure domain while it holds the lease."
    daemonMain(args, "burdock-steward", description, stewardSettingsLoader) { settings, _ ->
        val process = StewardProcess(settings)
        runDaemon(process::start, process::stop, process::awaitStop)
    }
}
