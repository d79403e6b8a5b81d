/** Reads the state of a rollout. */
package burdockspread.ctl

import burdockspread.document.Rollout
import burdockspread.document.SectionVersions
import burdockspread.id.HostId
import burdockspread.wire.fleet.HostVersions
import kotlinx.collections.immutable.toPersistentMap

/** Compares what hosts report with the document in the store. */
internal class RolloutReader(private val session: CtlSession) {
    private val fleet = FleetClient(session.operators, session.settings.hostsList)

    /** Version of [section] in force. */
    suspend fun currentVersion(section: String): Long =
        session.document().manifestEntry(section)?.version
            ?: throw CtlFailure.plain("there is no section $section")

    /** The rollout of [version] of [section] now. */
    suspend fun read(section: String, version: Long): Rollout {
        val hosts = session.document().contents.values
            .filter { it.section.hasFailureDomain() }
            .flatMap { it.section.failureDomain.hostsList }
            .map { HostId(it.name) }
        val reported = fleet.all().flatMap { it.hostsList }.groupBy { HostId(it.host) }
        return Rollout.of(section, version, hosts, reported.mapValues { merge(it.value) })
    }

    /** Versions only rise, so that of several reports the highest versions are the newest. */
    private fun merge(reports: List<HostVersions>): SectionVersions = SectionVersions(
        highest(reports.map { it.inForceMap }).toPersistentMap(),
        highest(reports.map { it.waitingMap }).toPersistentMap(),
    )

    private fun highest(maps: List<Map<String, Long>>): Map<String, Long> {
        val result = HashMap<String, Long>()
        maps.forEach { map ->
            map.forEach { (key, version) -> result.merge(key, version, ::maxOf) }
        }
        return result
    }
}
