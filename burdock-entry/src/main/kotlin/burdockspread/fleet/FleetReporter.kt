/** Fleet report for operators. */
package burdockspread.fleet

import burdockspread.document.DocumentReplica
import burdockspread.health.CapacityRow
import burdockspread.json.ProtoJson
import burdockspread.time.TimeSource
import burdockspread.wire.fleet.FleetReport
import burdockspread.wire.fleet.PoolReport
import burdockspread.wire.fleet.fleetReport
import burdockspread.wire.fleet.hostVersions
import burdockspread.wire.fleet.poolReport
import burdockspread.wire.fleet.refusalRate
import burdockspread.wire.fleet.targetReport
import com.google.protobuf.Duration
import com.google.protobuf.Timestamp

/** Creates fleet reports from the view of [host]. */
internal class FleetReporter(
    private val host: String,
    private val domain: String,
    private val watch: FleetWatch,
    private val recentRefusals: RecentRefusals,
    private val document: DocumentReplica,
    private val time: TimeSource,
) {
    /** Returns the report as JSON. */
    fun json(): String = ProtoJson.write(report())

    private fun report(): FleetReport {
        val reporter = this
        val view = watch.view()
        val versions = document.versions()
        return fleetReport {
            host = reporter.host
            at = Timestamp.newBuilder().setSeconds(time.now().epochSeconds).build()
            pools += view.capacity.map(::pool)
            probation += watch.degradedTargets.map {
                targetReport {
                    target = it.target.value
                    failureDomain =
                        document.view().target(it.target)?.failureDomain?.value.orEmpty()
                    weight = it.weight
                    reason = it.reason.name
                }
            }
            refusals += recentRefusals.perMinute().map { (code, count) ->
                refusalRate {
                    this.code = code.number
                    name = code.name
                    perMinute = count.toDouble()
                }
            }
            resumesPerMinute = view.resumeRate * view.generationsPerMinute
            retriesPerMinute = view.retryRate * view.generationsPerMinute
            hosts += hostVersions {
                host = reporter.host
                failureDomain = domain
                inForce.putAll(versions.inForce)
                waiting.putAll(versions.waiting)
            }
        }
    }

    private fun pool(row: CapacityRow): PoolReport = poolReport {
        name = row.model
        failureDomain = row.domain
        liveTargets = row.targets
        floorTargets = row.floorTargets
        headRoom = row.headRoom
        trendPerHour = row.trendPerHour
        row.hoursToFloor?.let {
            val seconds = (it * SECONDS_PER_HOUR).toLong()
            timeToFloor = Duration.newBuilder().setSeconds(seconds).build()
        }
    }

    private companion object {
        const val SECONDS_PER_HOUR = 3_600
    }
}
