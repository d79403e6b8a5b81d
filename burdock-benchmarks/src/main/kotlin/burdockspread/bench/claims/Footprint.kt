/** Memory, storage and replay cost of many claims. */
package burdockspread.bench.claims

import burdockspread.claim.BodyHash
import burdockspread.claim.ClaimAttempt
import burdockspread.claim.ClaimId
import burdockspread.claim.ClaimSettings
import burdockspread.claim.KeyHash
import burdockspread.claim.ShardStateMachine
import burdockspread.claim.ShardStep
import burdockspread.fakes.store.FakeObjectStore
import kotlin.time.Instant

/** The resources that [bookings] completed bookings with responses of 200 bytes use. */
internal class Footprint(
    val bookings: Int,
    val storeBytes: Int,
    val objects: Int,
    val replayReads: Long,
    val heapBytes: Long,
) {
    fun line(): String = (
        "%d bookings done, answers of 200 bytes: %d bytes in the store and %d in memory each; " +
            "%d objects; a new host reads %d objects"
        ).format(bookings, storeBytes / bookings, heapBytes / bookings, objects, replayReads)

    companion object {
        private const val REPLAYS = 10

        /** Makes bookings through the holder of a single shard and replays its log on new hosts. */
        fun measure(bookingsPerSecond: Int): Footprint {
            val scenario = CommitScenario(1, 1, WriteMode.SHARD_HOLDER, bookingsPerSecond)
            val simulation = CommitSimulation(scenario)
            simulation.run()
            val objects = simulation.fake.peekAll()
            val heapBefore = usedHeapBytes()
            val readsBefore = simulation.fake.reads.get()
            val replayed = List(REPLAYS) { replay(simulation.fake, "new-$it") }
            val reads = (simulation.fake.reads.get() - readsBefore) / REPLAYS
            val heap = (usedHeapBytes() - heapBefore) / REPLAYS
            val entries = replayed.first().state().entries
            return Footprint(entries, objects.sumOf { it.value.length }, objects.size, reads, heap)
        }

        /** Submits an attempt to a new host, which makes it read the log. */
        private fun replay(store: FakeObjectStore, process: String): ShardStateMachine {
            val now = Instant.fromEpochSeconds(1_700_000_100)
            val machine = ShardStateMachine(0, process, ClaimSettings(shardCount = 1))
            val body = BodyHash("ab".repeat(32))
            machine.submit(ClaimAttempt(ClaimId("$process/1"), KeyHash(0, 0), body, true, now), now)
            while (true) {
                val step = machine.poll(now) as? ShardStep.Read ?: return machine
                machine.onRead(runSync { store.get(step.key) }, now)
            }
        }

        private fun usedHeapBytes(): Long {
            repeat(3) { System.gc() }
            val runtime = Runtime.getRuntime()
            return runtime.totalMemory() - runtime.freeMemory()
        }
    }
}
