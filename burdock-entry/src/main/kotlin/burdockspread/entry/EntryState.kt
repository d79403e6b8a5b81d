/** State of an entry host as shown to operators. */
package burdockspread.entry

import burdockspread.document.DocumentReplica
import burdockspread.drain.DrainGate
import burdockspread.fleet.FleetReporter
import burdockspread.generation.GenerationRegistry
import burdockspread.http.OperatorView
import burdockspread.pool.TargetRouter
import burdockspread.stream.GenerationSession
import burdockspread.wire.settings.EntrySettings
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

@Serializable
internal data class EntryDump(
    val host: String,
    val failureDomain: String,
    val phase: String,
    val openRequests: Int,
    val sections: Map<String, Long>,
    val waitingSections: Map<String, Long>,
    val pools: Map<String, Int>,
    val generations: Int,
    val keptBytes: Long,
)

/** Operator view of an entry host. */
internal class EntryState(
    private val settings: EntrySettings,
    private val document: DocumentReplica,
    private val router: TargetRouter,
    private val open: GenerationRegistry<GenerationSession>,
    private val gate: DrainGate,
    private val reporter: FleetReporter,
    private val onDrain: () -> Unit,
) : OperatorView {
    override val ready: Boolean get() = !document.view().isEmpty

    override fun state(): String {
        val versions = document.versions()
        val dump =
            EntryDump(
                settings.host.name,
                settings.host.failureDomain,
                gate.currentPhase.name,
                gate.openRequests.value,
                versions.inForce,
                versions.waiting,
                router.sizes(),
                open.size,
                open.keptBytes,
            )
        return json.encodeToString(dump)
    }

    override fun fleet(): String = reporter.json()

    override fun drain(): Unit = onDrain()

    private companion object {
        val json = Json { prettyPrint = true }
    }
}
