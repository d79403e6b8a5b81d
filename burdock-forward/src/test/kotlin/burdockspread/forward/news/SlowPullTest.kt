package burdockspread.forward.news

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SlowPullTest {
    // Guards against targets that are used on since a large update of a peer takes long.
    @Test
    fun `what a host knows expires while it pulls from a peer`() = runTest {
        val clock = TimeSource { Instant.fromEpochMilliseconds(testScheduler.currentTime) }
        val updater = HostViewUpdater(TextDeployment, clock)
        val peers = PeerNews(
            host = "h1",
            ownAddress = "10.0.0.1:1",
            seeds = listOf("10.0.0.2:1"),
            viewUpdater = updater,
            calls = { _, _, _ -> awaitCancellation() },
            clock = clock,
            random = Random(1),
        )
        backgroundScope.launch { peers.run() }
        advanceTimeBy(1.seconds)
        val settings = StoredObject(ObjectKey("settings", "newest"), 5, "", "3")
        updater.onListed("settings", ListResult.Listed(persistentListOf(settings), 5))
        updater.onListed("targets", ListResult.Listed(persistentListOf(), 5))
        assertTrue(updater.view.isConfirmed)
        advanceTimeBy(5.seconds)
        assertFalse(updater.view.isConfirmed)
    }
}
