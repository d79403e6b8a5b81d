package burdockspread.document.relay

import burdockspread.document.DocumentReplica
import burdockspread.document.Documents
import burdockspread.document.VersionedSection
import burdockspread.document.edit.EditResult
import burdockspread.document.edit.EditorFixture
import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import burdockspread.id.HostId
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.RelaySelector
import burdockspread.store.WatchEvent
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DocumentRelayTest {
    private val fixture = EditorFixture()

    @Test
    fun `an edit costs a relay no reads beyond its watch`() = runTest {
        fixture.start()
        val replica = DocumentReplica()
        val published = ArrayList<VersionedSection>()
        val relay = launch { relay(0, fixture.store, replica, published).run() }
        delay(5.seconds)
        val readsBefore = fixture.store.reads.get()
        assertIs<EditResult.Accepted>(fixture.apply(Documents.priorities("fast")))
        delay(1.seconds)
        relay.cancel()
        // The editor lists the document once.
        assertEquals(1, fixture.store.reads.get() - readsBefore)
        assertEquals(2, replica.versions().inForce["priorities"])
        assertEquals(listOf("root", "priorities"), published.map { it.section })
    }

    @Test
    fun `a relay backs off when the store serves reads but rejects watches`() = runTest {
        fixture.start()
        val store = RejectingWatchStore(fixture.store)
        val relay = launch { relay(0, store, DocumentReplica(), ArrayList()).run() }
        delay(60.seconds)
        relay.cancel()
        // One read and one watch per round, with up to 4 s and on average 2 s between rounds.
        assertTrue(store.calls < 2 * 60, "${store.calls} calls in a minute")
    }

    @Test
    fun `after an outage relays read only changes and spread their reads over time`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val store = OutageStore(fixture.store, this)
        val replicas = List(RELAYS) { DocumentReplica() }
        val relays = replicas.mapIndexed { i, replica ->
            launch { relay(i, store, replica, ArrayList()).run() }
        }
        delay(10.seconds)
        store.begin()
        delay(60.seconds)
        val change = Documents.priorities("slow", version = 1)
        assertIs<EditResult.Accepted>(fixture.apply(change))
        store.readTimes.clear()
        store.end()
        delay(10.seconds)
        relays.forEach { it.cancel() }
        assertTrue(replicas.all { it.versions().inForce["priorities"] == 2L })
        // Each relay reads the manifest and the one changed section.
        assertEquals(2 * RELAYS, store.readTimes.size)
        val maxReads = store.readTimes.groupBy { it / 100 }.values.maxOf { it.size }
        assertTrue(maxReads <= 2 * RELAYS / 5, "$maxReads reads within 100 ms")
    }

    @Test
    fun `a host that starts during an outage gets the document from a peer`() = runTest {
        fixture.start(Documents.priorities("fast"), Documents.organisations("acme" to "fast"))
        val peerReplica = DocumentReplica()
        val relay = launch { relay(0, fixture.store, peerReplica, ArrayList()).run() }
        delay(5.seconds)
        relay.cancel()
        fixture.store.faults = StoreFaults { StoreFault.REFUSED }
        val joiningReplica = DocumentReplica()
        peerReplica.snapshot().sections().shuffled(Random(3)).forEach { joiningReplica.offer(it) }
        assertEquals(peerReplica.versions(), joiningReplica.versions())
        assertEquals(1, joiningReplica.view().organisations.size)
    }

    @Test
    fun `a relay does not read sections that its host got from peers`() = runTest {
        fixture.start(Documents.priorities("fast"))
        val replica = DocumentReplica()
        val first = launch { relay(0, fixture.store, replica, ArrayList()).run() }
        delay(5.seconds)
        first.cancel()
        val readsBefore = fixture.store.reads.get()
        val second = launch { relay(1, fixture.store, replica, ArrayList()).run() }
        delay(5.seconds)
        second.cancel()
        assertEquals(1, fixture.store.reads.get() - readsBefore)
    }

    @Test
    fun `two hosts of a failure domain are relays and are replaced when they fail`() {
        val hosts = List(14) { HostId("host-$it") }
        val relays = hosts.filter { RelaySelector.isRelay(it, hosts) }
        assertEquals(RelaySelector.RELAYS_PER_DOMAIN, relays.size)
        val remaining = hosts - relays.first()
        val after = remaining.filter { RelaySelector.isRelay(it, remaining) }
        assertEquals(RelaySelector.RELAYS_PER_DOMAIN, after.size)
        assertTrue(relays.last() in after)
    }

    private fun relay(
        number: Int,
        store: ObjectStore,
        replica: DocumentReplica,
        published: MutableList<VersionedSection>,
    ) = DocumentRelay(HostId("h$number"), store, replica) { published += it }

    private companion object {
        const val RELAYS = 76
    }

    private class RejectingWatchStore(private val store: ObjectStore) : ObjectStore by store {
        var calls = 0

        override suspend fun get(key: ObjectKey): ReadResult {
            calls++
            return store.get(key)
        }

        override fun watch(kind: String, version: Long): Flow<WatchEvent> = flow {
            calls++
            emit(WatchEvent.Ended("rejected"))
        }
    }
}

/** A store whose watches end and whose reads fail during a simulated outage. */
private class OutageStore(private val store: ObjectStore, private val scope: TestScope) :
    ObjectStore by store {
    private val ended = MutableSharedFlow<Unit>()
    private var down = false
    val readTimes = ArrayList<Long>()

    suspend fun begin() {
        down = true
        ended.emit(Unit)
    }

    fun end() {
        down = false
    }

    override suspend fun get(key: ObjectKey): ReadResult {
        if (down) return ReadResult.Unavailable("outage")
        readTimes += scope.currentTime
        return store.get(key)
    }

    override fun watch(kind: String, version: Long) =
        merge(store.watch(kind, version), ended.map { WatchEvent.Ended("outage") })
}
