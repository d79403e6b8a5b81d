package burdockspread.forward.news

import burdockspread.forward.http.CallResult
import burdockspread.settings.MonotonicClock
import org.junit.jupiter.api.Timeout
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PeerAddressesTest {
    private val clock = MonotonicClock()
    private val peers = PeerNews(
        host = "h1",
        ownAddress = "10.0.0.1:1",
        seeds = listOf("10.0.0.2:1"),
        viewUpdater = HostViewUpdater(TextDeployment, clock),
        calls = { _, _, _ -> CallResult.NotSent },
        clock = clock,
        random = Random(1),
    )

    // Guards against a state dump that failed because the control loop had found another host.
    @Test
    @Timeout(60)
    fun `the addresses can be read while hosts are found`() {
        val finder = thread { repeat(20_000) { peers.onPeer("10.1.${it / 250}.${it % 250}:1") } }
        var reads = 0
        while (finder.isAlive || reads == 0) {
            reads++
            assertTrue(peers.knownAddresses().last() == "10.0.0.1:1")
        }
        finder.join()
        assertEquals(20_002, peers.hostCount)
    }

    @Test
    fun `listed hosts replace the known ones, without this host and malformed addresses`() {
        peers.onListed(listOf("10.0.0.3:1", "10.0.0.1:1", "nowhere"))
        assertEquals(listOf("10.0.0.3:1", "10.0.0.1:1"), peers.knownAddresses())
        peers.onListed(emptyList())
        assertEquals(2, peers.hostCount)
    }
}
