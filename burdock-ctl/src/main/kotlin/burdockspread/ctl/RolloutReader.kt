/** Computes the state of a rollout. */
package burdockspread.ctl

import burdockspread.document.Rollout
import burdockspread.document.SectionVersions
import burdockspread.id.HostId
import burdockspread.wire.fleet.HostVersions
import kotlinx.collections.immutable.toPersistentMap

/** Compares the versions that hosts report with the document in the store. */
internal class RolloutReader(private val session: CtlSession) {
    private val fleet = FleetClient(session.operatorClient, session.settings.hostsList)

    /** Returns the version of [section] that the store has in force. */
    suspend fun currentVersion(section: String): Long =
        session.document().manifestEntry(section)?.version
            ?: throw CtlFailure.generic("section $section does not exist")

    /** Returns the current state of the rollout of [version] of [section]. */
    suspend fun read(section: String, version: Long): Rollout {
        val hosts = session.document().contents.values
            .filter { it.section.hasFailureDomain() }
            .flatMap { it.section.failureDomain.hostsList }
            .map { HostId(it.name) }
        val reported = fleet.allReports().flatMap { it.hostsList }.groupBy { HostId(it.host) }
        return Rollout.of(section, version, hosts, reported.mapValues { merge(it.value) })
    }

    /** Merges reports on one host; versions only increase, so the highest is the newest. */
    private fun merge(reports: List<HostVersions>): SectionVersions = SectionVersions(
        maxVersions(reports.map { it.inForceMap }).toPersistentMap(),
        maxVersions(reports.map { it.waitingMap }).toPersistentMap(),
    )

    private fun maxVersions(maps: List<Map<String, Long>>): Map<String, Long> {
        val result = HashMap<String, Long>()
        maps.forEach { map ->
            map.forEach { (key, version) -> result.merge(key, version, ::maxOf) }
        }
        return result
    }
}
