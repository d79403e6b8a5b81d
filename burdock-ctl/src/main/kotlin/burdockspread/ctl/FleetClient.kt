/** Client for the fleet reports of hosts. */
package burdockspread.ctl

import burdockspread.json.mergeBounded
import burdockspread.wire.fleet.FleetReport
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.util.JsonFormat

/** Fetches fleet reports from the operator ports of [hosts], given as IP:port. */
internal class FleetClient(
    private val operatorClient: OperatorClient,
    private val hosts: List<String>,
) {
    /** Returns the unparsed report of the first host that responds. */
    suspend fun firstReportJson(): String {
        val failures = ArrayList<String>()
        for (host in hosts) {
            when (val reply = operatorClient.get(host, FLEET_PATH)) {
                is OperatorReply.Body -> return reply.text
                is OperatorReply.Failed -> failures += "$host: ${reply.reason}"
            }
        }
        throw CtlFailure.generic((listOf("no host responded") + failures).joinToString("\n  "))
    }

    /** Returns the report of the first host that responds. */
    suspend fun firstReport(): FleetReport = parse(firstReportJson())

    /** Returns the reports of all hosts that respond. */
    suspend fun allReports(): List<FleetReport> = hosts
        .mapNotNull { operatorClient.get(it, FLEET_PATH) as? OperatorReply.Body }
        .map { parse(it.text) }

    private fun parse(text: String): FleetReport = try {
        val builder = FleetReport.newBuilder()
        JsonFormat.parser().ignoringUnknownFields().mergeBounded(text, builder)
        builder.build()
    } catch (e: InvalidProtocolBufferException) {
        throw CtlFailure.generic("cannot parse the fleet report: ${e.message}")
    }

    private companion object {
        const val FLEET_PATH = "/fleet"
    }
}
