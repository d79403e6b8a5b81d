/** Wire sizes of share messages, sent as protobuf over gRPC. */
package burdockspread.bench.limits

import burdockspread.limit.ShareGrant
import burdockspread.limit.ShareMessage
import burdockspread.limit.ShareReport
import com.google.protobuf.CodedOutputStream

/** Returns the bytes of [message], including TCP, HTTP/2 and gRPC framing. */
internal fun wireSize(message: ShareMessage): Int = FRAMING_BYTES + when (message) {
    is ShareMessage.Reports -> message.reports.sumOf { wireSize(it) }
    is ShareMessage.Grants -> message.grants.sumOf { wireSize(it) }
}

private fun wireSize(report: ShareReport): Int = FIELD_BYTES +
    CodedOutputStream.computeStringSize(1, report.organisation.value) +
    CodedOutputStream.computeInt32Size(2, report.demand) +
    CodedOutputStream.computeInt32Size(3, report.holds) +
    CodedOutputStream.computeInt64Size(4, report.obeyed)

private fun wireSize(grant: ShareGrant): Int = FIELD_BYTES +
    CodedOutputStream.computeStringSize(1, grant.organisation.value) +
    CodedOutputStream.computeInt32Size(2, grant.amount) +
    CodedOutputStream.computeInt64Size(3, grant.number) +
    CodedOutputStream.computeInt64Size(4, grant.lifetimeMillis)

/** Bytes of the tag and length of a repeated message. */
private const val FIELD_BYTES = 2

/** Bytes of the TCP/IP, HTTP/2 and gRPC headers, the sender and the time. */
private const val FRAMING_BYTES = 120
