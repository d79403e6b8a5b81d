/** Validation rules for the settings of burdockctl. */
package burdockspread.ctl

import burdockspread.settings.SettingsLoader
import burdockspread.settings.store
import burdockspread.wire.settings.CtlSettings

/** Loads and validates the settings of `burdockctl`. */
public val ctlSettingsLoader: SettingsLoader<CtlSettings> =
    SettingsLoader(CtlSettings.getDefaultInstance()) { settings ->
        store(settings.store)
        required("team", settings.team)
        settings.hostsList.forEachIndexed { i, host -> address("hosts[$i]", host) }
    }
