/** Sizes of share messages as protobuf over gRPC. */
package burdockspread.bench.limits

import burdockspread.limit.ShareGrant
import burdockspread.limit.ShareMessage
import burdockspread.limit.ShareReport
import com.google.protobuf.CodedOutputStream

/** Bytes of [message] with its share of TCP, HTTP/2 and gRPC framing. */
internal fun sizeOf(message: ShareMessage): Int = FRAME_BYTES + when (message) {
    is ShareMessage.Reports -> message.reports.sumOf { sizeOf(it) }
    is ShareMessage.Grants -> message.grants.sumOf { sizeOf(it) }
}

private fun sizeOf(report: ShareReport): Int = HEAD_BYTES +
    CodedOutputStream.computeStringSize(1, report.organisation.value) +
    CodedOutputStream.computeInt32Size(2, report.demand) +
    CodedOutputStream.computeInt32Size(3, report.holds) +
    CodedOutputStream.computeInt64Size(4, report.obeyed)

private fun sizeOf(grant: ShareGrant): Int = HEAD_BYTES +
    CodedOutputStream.computeStringSize(1, grant.organisation.value) +
    CodedOutputStream.computeInt32Size(2, grant.amount) +
    CodedOutputStream.computeInt64Size(3, grant.number) +
    CodedOutputStream.computeInt64Size(4, grant.lifetimeMillis)

/** Tag and length of a repeated message. */
private const val HEAD_BYTES = 2

/** TCP/IP, HTTP/2 and gRPC headers, sender and time. */
private const val FRAME_BYTES = 120
