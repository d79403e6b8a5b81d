/** Client for the journal service of other entry hosts. */
package burdockspread.peer

import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.generation.FinishReason
import burdockspread.id.HostId
import burdockspread.journal.AppendOutcome
import burdockspread.journal.BranchId
import burdockspread.journal.ClaimOutcome
import burdockspread.journal.CopyKey
import burdockspread.journal.EventId
import burdockspread.journal.JournalBatch
import burdockspread.journal.JournalCopy
import burdockspread.journal.LookupResult
import burdockspread.journal.RequestKey
import burdockspread.stream.ResponseEnd
import burdockspread.stream.ResponsePart
import burdockspread.wire.journal.AttachEvent
import burdockspread.wire.journal.JournalPeerGrpcKt
import burdockspread.wire.journal.appendRequest
import burdockspread.wire.journal.attachRequest
import burdockspread.wire.journal.claimRequest
import burdockspread.wire.journal.findRequest
import burdockspread.wire.journal.readRequest
import io.grpc.StatusException
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.map
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Calls the journal service of other hosts. Returns null for hosts that do not respond. */
internal class JournalClient(
    private val directory: PeerDirectory,
    private val channels: PeerChannels,
    private val timeout: Duration,
) {
    /** Appends [batches] to the copies at [host] and returns the outcomes in the same order. */
    suspend fun append(host: HostId, batches: List<JournalBatch>): List<AppendOutcome>? =
        callPeer(host) { stub ->
            val request = appendRequest { this.batches += batches.map { it.toMessage() } }
            stub.append(request).resultsList.map { it.toAppendOutcome() }
        }

    /**
     * Looks up the generations that [host] runs, and the journal copies that it holds, for [key].
     */
    suspend fun find(host: HostId, key: RequestKey): List<LookupResult> = callPeer(host) { stub ->
        val reply = stub.find(
            findRequest {
                organisation = key.organisation.value
                requestId = key.request.value
            },
        )
        val running = reply.runningList.map {
            val finish = FinishReason.ofWireName(it.finishReason)
            val lineage = it.lineageList.toLineage()
            LookupResult.Running(host, it.key.toCopyKey(), lineage, it.length, finish)
        }
        val copies = reply.copiesList.map { LookupResult.Copy(host, it.toCopyHead()) }
        (running + copies).ifEmpty { listOf(LookupResult.NotFound(host)) }
    } ?: listOf(LookupResult.Unreachable(host))

    /** Reads the complete copy of [key] at [host]. */
    suspend fun read(host: HostId, key: CopyKey): JournalCopy? = callPeer(host) { stub ->
        val reply = stub.read(readRequest { this.key = key.toMessage() })
        reply.takeIf { it.hasCopy() }?.copy?.toJournalCopy()
    }

    /** Claims the generation [key] for the branch [taker] at [host]. */
    suspend fun claim(host: HostId, key: CopyKey, taker: BranchId): ClaimOutcome? =
        callPeer(host) { stub ->
            val request =
                claimRequest {
                    this.key = key.toMessage()
                    this.taker = taker.toMessage()
                }
            stub.claim(request).toClaimOutcome()
        }

    /** Streams the response of [host]'s generation [key], starting after [last]. */
    fun attach(host: HostId, key: CopyKey, last: EventId?): Flow<ResponsePart> {
        val stub = JournalPeerGrpcKt.JournalPeerCoroutineStub(channels.to(addressOf(host)))
        val request =
            attachRequest {
                this.key = key.toMessage()
                lastEventId = last?.format().orEmpty()
            }
        var latest = last ?: EventId(key.generation, BranchId(1, host, 0), 0)
        return stub
            .attach(request)
            .map { event -> part(event, latest).also { latest = event(it) } }
            .catch { emit(ResponsePart.End(latest, ResponseEnd.Aborted(cutOff(host)))) }
    }

    private fun event(part: ResponsePart): EventId = when (part) {
        is ResponsePart.Tokens -> part.event
        is ResponsePart.End -> part.event
    }

    private fun part(event: AttachEvent, latest: EventId): ResponsePart {
        val id = EventId.parse(event.eventId).getOrNull() ?: latest
        val finish = FinishReason.ofWireName(event.finishReason)
        return when {
            event.errorCode != 0 -> ResponsePart.End(id, ResponseEnd.Aborted(refusal(event)))
            finish != null -> ResponsePart.End(id, ResponseEnd.Completed(finish))
            else -> ResponsePart.Tokens(id, event.tokensList.toImmutableList())
        }
    }

    private fun refusal(event: AttachEvent): Refusal {
        val code = ErrorCode.entries.firstOrNull { it.number == event.errorCode }
        return Refusal(code ?: ErrorCode.INTERNAL, event.errorDetail)
    }

    private fun cutOff(host: HostId): Refusal =
        Refusal(ErrorCode.CUT_OFF, "host $host stopped responding; reconnect to resume")

    private suspend fun <R> callPeer(
        host: HostId,
        call: suspend (JournalPeerGrpcKt.JournalPeerCoroutineStub) -> R?,
    ): R? {
        val address = directory.address(host) ?: return null
        val stub =
            JournalPeerGrpcKt
                .JournalPeerCoroutineStub(channels.to(address))
                .withDeadlineAfter(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return try {
            call(stub)
        } catch (e: StatusException) {
            null
        }
    }

    private fun addressOf(host: HostId): String =
        checkNotNull(directory.address(host)) { "no address known for host $host" }
}
