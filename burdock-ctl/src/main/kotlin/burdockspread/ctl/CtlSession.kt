/** State shared by the commands of one invocation. */
package burdockspread.ctl

import arrow.core.getOrElse
import burdockspread.document.edit.DocumentEditor
import burdockspread.document.edit.DocumentReader
import burdockspread.document.edit.StoredDocument
import burdockspread.store.ObjectStore
import burdockspread.wire.settings.CtlSettings
import java.nio.file.Path

/** Settings and clients, created lazily when a command first needs them. */
internal class CtlSession(val environment: CtlEnvironment, private val config: Path?) {
    val settings: CtlSettings by lazy { load() }
    val operatorClient: OperatorClient get() = environment.operatorClient
    private val store: ObjectStore by lazy { environment.store(settings.store) }

    val editor: DocumentEditor by lazy {
        DocumentEditor(store, { environment.now() }, environment.random)
    }

    val editorName: String get() = "${settings.team}/${environment.user}"

    suspend fun document(): StoredDocument =
        DocumentReader(store).read().getOrElse { throw CtlFailure.storeUnavailable(it) }

    private fun load(): CtlSettings {
        val file = config ?: throw CtlFailure.invalidSettings(listOf("--config FILE is required"))
        return ctlSettingsLoader.load(file).getOrElse { problems ->
            throw CtlFailure.invalidSettings(problems.map { "$file: $it" })
        }
    }
}
