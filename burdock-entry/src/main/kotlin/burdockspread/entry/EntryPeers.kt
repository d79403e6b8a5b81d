/** What an entry host shares with the others. */
package burdockspread.entry

import burdockspread.document.DocumentHolder
import burdockspread.generation.OpenGenerations
import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.journal.CopyLimits
import burdockspread.journal.CopyPolicy
import burdockspread.peer.CopyHolder
import burdockspread.peer.HostFilter
import burdockspread.peer.JournalClient
import burdockspread.peer.JournalService
import burdockspread.peer.PeerChannels
import burdockspread.peer.PeerCopySender
import burdockspread.peer.PeerDirectory
import burdockspread.peer.PeerReturnFinder
import burdockspread.peer.PeerServer
import burdockspread.settings.toKotlin
import burdockspread.stream.CopySender
import burdockspread.stream.GenerationSession
import burdockspread.stream.ReturnFinder
import burdockspread.stream.SessionPlanner
import burdockspread.time.TimeSource
import burdockspread.wire.settings.EntrySettings
import kotlin.time.Duration.Companion.seconds

/** The peer port, the connections to other hosts and the copies held for them. */
internal class EntryPeers(
    private val settings: EntrySettings,
    document: DocumentHolder,
    open: OpenGenerations<GenerationSession>,
    planner: SessionPlanner,
    time: TimeSource,
) {
    private val journal = settings.journal
    private val channels = PeerChannels()
    private val directory =
        PeerDirectory(
            HostId(settings.host.name),
            FailureDomainId(settings.host.failureDomain),
            settings.host.region,
            document::view,
            HostFilter { true },
        )
    private val client = JournalClient(directory, channels, CALL_TIMEOUT)

    /** Copies held for other hosts. */
    val held: CopyHolder =
        CopyHolder(
            CopyLimits(
                maxBytes = journal.maxCopiesMib * BYTES_PER_MIB,
                keepFinished = journal.keepFinished.toKotlin(),
            ),
        )

    /** Sends own copies to other hosts. */
    val copySender: CopySender = PeerCopySender(directory, client, journal.copies)

    /** When own generations are copied. */
    val copyPolicy: CopyPolicy =
        CopyPolicy(
            copyAfter = journal.copyAfter.toKotlin(),
            interval = journal.copyInterval.toKotlin(),
        )

    /** Finds generations of returning callers. */
    val returns: ReturnFinder =
        PeerReturnFinder(directory, client, held, planner, journal.copies)

    private val server =
        PeerServer(settings.peerAddress, listOf(JournalService(held, open, time)))

    /** Opens the peer port. */
    fun start() {
        server.start()
    }

    /** Closes the peer port and all connections. */
    fun stop() {
        server.stop()
        channels.close()
    }

    private companion object {
        const val BYTES_PER_MIB = 1_048_576L
        val CALL_TIMEOUT = 1.seconds
    }
}
