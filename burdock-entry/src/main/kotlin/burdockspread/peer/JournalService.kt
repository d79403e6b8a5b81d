/** gRPC service for the journals and generations of this host. */
package burdockspread.peer

import burdockspread.error.ErrorCode
import burdockspread.generation.GenerationRegistry
import burdockspread.journal.EventId
import burdockspread.stream.GenerationSession
import burdockspread.stream.ResponseEnd
import burdockspread.stream.ResponsePart
import burdockspread.time.TimeSource
import burdockspread.wire.journal.AppendReply
import burdockspread.wire.journal.AppendRequest
import burdockspread.wire.journal.AttachEvent
import burdockspread.wire.journal.AttachRequest
import burdockspread.wire.journal.ClaimReply
import burdockspread.wire.journal.ClaimRequest
import burdockspread.wire.journal.DropReply
import burdockspread.wire.journal.DropRequest
import burdockspread.wire.journal.FindReply
import burdockspread.wire.journal.FindRequest
import burdockspread.wire.journal.JournalPeerGrpcKt
import burdockspread.wire.journal.ReadReply
import burdockspread.wire.journal.ReadRequest
import burdockspread.wire.journal.RunningHead
import burdockspread.wire.journal.appendReply
import burdockspread.wire.journal.attachEvent
import burdockspread.wire.journal.findReply
import burdockspread.wire.journal.readReply
import burdockspread.wire.journal.runningHead
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.map

/** Serves the journal copies and the running generations of this host to other entry hosts. */
internal class JournalService(
    private val copies: JournalCopyStore,
    private val open: GenerationRegistry<GenerationSession>,
    private val time: TimeSource,
) : JournalPeerGrpcKt.JournalPeerCoroutineImplBase() {
    override suspend fun append(request: AppendRequest): AppendReply {
        val now = time.now()
        val outcomes = request.batchesList.map { copies.append(it.toJournalBatch(), now) }
        return appendReply { results += outcomes.map { it.toMessage() } }
    }

    override suspend fun find(request: FindRequest): FindReply {
        val key = requestKey(request.organisation, request.requestId)
        val session = open.find(key)
        return findReply {
            copies += this@JournalService.copies.find(key).map { it.toMessage() }
            session?.let { running += head(it) }
        }
    }

    override suspend fun read(request: ReadRequest): ReadReply {
        val found = copies.read(request.key.toCopyKey())
        return readReply { found?.let { copy = it.toMessage() } }
    }

    override suspend fun claim(request: ClaimRequest): ClaimReply =
        copies.claim(request.key.toCopyKey(), request.taker.toBranchId()).toMessage()

    override suspend fun drop(request: DropRequest): DropReply {
        request.keysList.forEach { copies.drop(it.toCopyKey()) }
        return DropReply.getDefaultInstance()
    }

    override fun attach(request: AttachRequest): Flow<AttachEvent> {
        val key = request.key.toCopyKey()
        val session = open.find(key.request)?.takeIf { it.request.generation == key.generation }
        val last = EventId.parse(request.lastEventId).getOrNull()
        if (session == null || !session.canResumeFrom(last)) return lost()
        val reader = session.reader(last?.offset ?: 0)
        return flow {
            reader.use { local -> local.parts().map(::event).collect { emit(it) } }
        }
    }

    private fun lost(): Flow<AttachEvent> = flow {
        emit(attachEvent { errorCode = ErrorCode.GENERATION_LOST.number })
    }

    private fun event(part: ResponsePart): AttachEvent = attachEvent {
        when (part) {
            is ResponsePart.Tokens -> {
                eventId = part.event.format()
                tokens += part.tokens
            }
            is ResponsePart.End -> {
                eventId = part.event.format()
                when (val end = part.end) {
                    is ResponseEnd.Completed -> finishReason = end.reason.wireName
                    is ResponseEnd.Aborted -> {
                        errorCode = end.refusal.code.number
                        errorDetail = end.refusal.detail
                    }
                }
            }
        }
    }

    private fun head(session: GenerationSession): RunningHead = runningHead {
        key = session.copyKey.toMessage()
        lineage += session.request.lineage.toMessages()
        length = session.progress.value.released
        val end = session.progress.value.end as? ResponseEnd.Completed
        finishReason = end?.reason?.wireName.orEmpty()
    }
}
