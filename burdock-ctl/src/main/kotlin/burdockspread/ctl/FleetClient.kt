/** Reads fleet reports from hosts. */
package burdockspread.ctl

import burdockspread.wire.fleet.FleetReport
import com.google.protobuf.InvalidProtocolBufferException
import com.google.protobuf.util.JsonFormat

/** Asks the operators' ports of [hosts], which are IP:port. */
internal class FleetClient(
    private val operators: OperatorClient,
    private val hosts: List<String>,
) {
    /** The report of the first host that answers, as it came. */
    suspend fun firstText(): String {
        val failures = ArrayList<String>()
        for (host in hosts) {
            when (val reply = operators.get(host, PATH)) {
                is OperatorReply.Body -> return reply.text
                is OperatorReply.Failed -> failures += "$host: ${reply.reason}"
            }
        }
        throw CtlFailure.plain((listOf("no host answers") + failures).joinToString("\n  "))
    }

    /** The report of the first host that answers. */
    suspend fun first(): FleetReport = parse(firstText())

    /** The reports of all hosts that answer. */
    suspend fun all(): List<FleetReport> = hosts
        .mapNotNull { operators.get(it, PATH) as? OperatorReply.Body }
        .map { parse(it.text) }

    private fun parse(text: String): FleetReport = try {
        val builder = FleetReport.newBuilder()
        JsonFormat.parser().ignoringUnknownFields().merge(text, builder)
        builder.build()
    } catch (e: InvalidProtocolBufferException) {
        throw CtlFailure.plain("the report cannot be read: ${e.message}")
    }

    private companion object {
        const val PATH = "/fleet"
    }
}
