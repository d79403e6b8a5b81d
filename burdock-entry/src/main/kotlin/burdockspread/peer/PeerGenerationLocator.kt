/** Lookup of generations at other entry hosts. */
package burdockspread.peer

import burdockspread.generation.FinishReason
import burdockspread.id.HostId
import burdockspread.journal.EventId
import burdockspread.journal.JournalCopy
import burdockspread.journal.LookupResult
import burdockspread.journal.ReconnectDecision
import burdockspread.journal.ReconnectingCaller
import burdockspread.journal.RequestKey
import burdockspread.journal.TakeoverResult
import burdockspread.journal.decideReconnect
import burdockspread.journal.ownersToQuery
import burdockspread.journal.resolveTakeover
import burdockspread.stream.GenerationLocation
import burdockspread.stream.GenerationLocator
import burdockspread.stream.GenerationSession
import burdockspread.stream.RemoteReader
import burdockspread.stream.ResponseEnd
import burdockspread.stream.ResponsePart
import burdockspread.stream.SessionPlanner
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow

/** Queries the hosts that may hold copies, then the owners that they report. */
internal class PeerGenerationLocator(
    private val directory: PeerDirectory,
    private val client: JournalClient,
    private val localCopies: JournalCopyStore,
    private val planner: SessionPlanner,
    private val copies: Int,
) : GenerationLocator {
    override suspend fun find(
        key: RequestKey,
        last: EventId?,
        local: GenerationSession?,
    ): GenerationLocation {
        val caller = ReconnectingCaller(key, last, acceptsRestart = true)
        val sightings = sightings(caller, local)
        return when (val decision = decideReconnect(caller, directory.self, sightings)) {
            is ReconnectDecision.AttachToOwner -> {
                val parts = client.attach(decision.host, decision.key, last)
                GenerationLocation.Read(RemoteReader(decision.key.generation, parts))
            }
            is ReconnectDecision.Replay -> replay(decision, last)
            is ReconnectDecision.TakeOver -> takeOver(caller, decision)
            else -> GenerationLocation.Decided(decision)
        }
    }

    private suspend fun sightings(
        caller: ReconnectingCaller,
        local: GenerationSession?,
    ): List<LookupResult> {
        val here =
            localCopies.find(caller.key).map { LookupResult.Copy(directory.self, it) } +
                listOfNotNull(local?.let(::running))
        val first = here + queryHosts(caller.key, directory.candidates(caller.key, copies))
        val owners = ownersToQuery(caller, first).filter { it != directory.self }
        return first + queryHosts(caller.key, owners)
    }

    private suspend fun queryHosts(key: RequestKey, hosts: Collection<HostId>): List<LookupResult> =
        coroutineScope {
            hosts.map { async { client.find(it, key) } }.awaitAll().flatten()
        }

    private fun running(session: GenerationSession): LookupResult {
        val finish = (session.progress.value.end as? ResponseEnd.Completed)?.reason
        return LookupResult.Running(
            directory.self,
            session.copyKey,
            session.request.lineage,
            session.progress.value.released,
            finish,
        )
    }

    private suspend fun replay(
        decision: ReconnectDecision.Replay,
        last: EventId?,
    ): GenerationLocation {
        val here = decision.holder == directory.self
        val copy = if (here) {
            localCopies.read(
                decision.key,
            )
        } else {
            client.read(decision.holder, decision.key)
        }
        val finish =
            copy?.head?.finish ?: return GenerationLocation.Decided(restartOrStartNew(last))
        val parts = parts(copy, finish, decision.offset)
        return GenerationLocation.Read(RemoteReader(decision.key.generation, parts))
    }

    private fun parts(copy: JournalCopy, finish: FinishReason, offset: Int): Flow<ResponsePart> {
        val end = EventId(copy.head.key.generation, copy.head.lineage.current, copy.head.length)
        val rest = copy.tokens.subList(offset, copy.tokens.size)
        return flow {
            if (rest.isNotEmpty()) emit(ResponsePart.Tokens(end, rest))
            emit(ResponsePart.End(end, ResponseEnd.Completed(finish)))
        }
    }

    private suspend fun takeOver(
        caller: ReconnectingCaller,
        decision: ReconnectDecision.TakeOver,
    ): GenerationLocation {
        val taker = planner.branch(decision.epoch)
        val claims =
            coroutineScope {
                decision.holders
                    .map { host ->
                        async {
                            if (host == directory.self) {
                                localCopies.claim(decision.key, taker)
                            } else {
                                client.claim(host, decision.key, taker)
                            }
                        }
                    }.awaitAll()
                    .filterNotNull()
            }
        return when (val result = resolveTakeover(caller, taker, claims)) {
            is TakeoverResult.TakenOver ->
                GenerationLocation.TakenOver(result.copy, result.lineage, result.offset)
            is TakeoverResult.AttachToOwner -> {
                val parts = client.attach(result.host, decision.key, caller.last)
                GenerationLocation.Read(RemoteReader(decision.key.generation, parts))
            }
            is TakeoverResult.Fallback -> GenerationLocation.Decided(result.decision)
        }
    }

    private fun restartOrStartNew(last: EventId?): ReconnectDecision =
        if (last == null) ReconnectDecision.StartNew else ReconnectDecision.Restart
}
