package burdockspread.document.relay

import burdockspread.document.DocumentListener
import burdockspread.document.DocumentReplica
import burdockspread.document.DocumentSnapshot
import burdockspread.document.Documents
import burdockspread.document.SectionReader
import burdockspread.document.VersionedSection
import burdockspread.document.edit.DocumentEditor
import burdockspread.document.edit.DocumentReader
import burdockspread.document.edit.Edit
import burdockspread.document.edit.EditChange
import burdockspread.document.edit.EditResult
import burdockspread.document.edit.StoredDocument
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import burdockspread.id.HostId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A random schedule of racing editors, store faults, relays, stale peers and restarts. */
internal class RacingSchedule(seed: Int) {
    private val random = Random(seed)
    private val fake = FakeObjectStore()
    private val store = DelayedStore(fake, random)
    private val replicas = Array(HOSTS) { newReplica() }
    private val relayed = ArrayList<VersionedSection>()
    private var isSettling = false
    private val results = HashMap<Edit, EditResult>()

    /** Number of accepted edits in this schedule. */
    val accepted: Int get() = results.values.count { it is EditResult.Accepted }

    suspend fun run(scope: CoroutineScope) {
        write(Documents.root("priorities", "organisations"))
        val relays = List(2) { i ->
            scope.launch {
                DocumentRelay(HostId("h$i"), store, replicas[i]) { relayed += it }.run()
            }
        }
        val gossip = scope.launch { gossip() }
        fake.faults = StoreFaults { fault() }
        List(EDITORS) { scope.launch { repeat(EDITS) { editOnce() } } }.joinAll()
        fake.faults = StoreFaults { StoreFault.NONE }
        fake.deliverDelayedCalls()
        resolve()
        isSettling = true
        delay(SETTLE)
        (relays + gossip).forEach { it.cancel() }
        check()
    }

    private fun fault(): StoreFault = when (random.nextInt(20)) {
        0 -> StoreFault.ANSWER_LOST
        1 -> StoreFault.CALL_LOST
        2 -> StoreFault.CALL_LATE
        3 -> StoreFault.STALE_READ
        4 -> StoreFault.REFUSED
        else -> StoreFault.NONE
    }

    private suspend fun editOnce() {
        delay(random.nextInt(300).milliseconds)
        if (random.nextInt(4) == 0) fake.deliverDelayedCalls()
        val document = DocumentReader(store).read().getOrNull() ?: return
        val text = if (random.nextBoolean()) {
            val names = NAMES.filter { random.nextBoolean() }.toTypedArray()
            Documents.priorities(*names, version = document.version("priorities"))
        } else {
            val version = document.version("organisations")
            Documents.organisations("acme" to NAMES.random(random), version = version)
        }
        write(text)
    }

    private suspend fun write(text: String) {
        val change = EditChange.Write(checkNotNull(SectionReader.parse("", text).getOrNull()))
        val id = "e${results.size}-${random.nextInt(1_000_000)}"
        val edit = Edit(id, "ops", "ops/ann", "", persistentListOf(change))
        results[edit] = EditResult.Unresolved("in progress")
        results[edit] = editor().apply(edit)
    }

    /** Repeats the unresolved edits once; [check] requires that all of them are resolved then. */
    private suspend fun resolve() {
        val open = results.filterValues { it is EditResult.Unresolved }.keys.toList()
        open.forEach { results[it] = editor().apply(it) }
    }

    private suspend fun gossip() {
        while (true) {
            delay(random.nextInt(100).milliseconds)
            val from = replicas.random(random).snapshot().sections()
            val old = relayed.filter { random.nextInt(4) == 0 }
            val to = replicas.random(random)
            (from + old).shuffled(random).forEach { to.offer(it) }
            // Hosts 0 and 1 run the relays; the others restart and learn everything from peers.
            if (!isSettling &&
                random.nextInt(50) == 0
            ) {
                replicas[random.nextInt(2, HOSTS)] = newReplica()
            }
        }
    }

    private fun newReplica() = DocumentReplica(
        object : DocumentListener {
            override fun onApplied(before: DocumentSnapshot, after: DocumentSnapshot) {
                for ((section, version) in before.versions.inForce) {
                    val next = after.versions.inForce[section] ?: 0
                    assertTrue(next >= version, "$section went back to $next")
                }
                val view = after.view
                assertTrue(
                    view.organisations.all { view.priority(it.defaultPriority) != null },
                    "an invalid combination is active",
                )
            }
        },
    )

    private suspend fun check() {
        val document = checkNotNull(DocumentReader(fake).read().getOrNull())
        assertTrue(results.values.none { it is EditResult.Unresolved })
        checkNothingLost(document)
        val expected = document.manifest.sectionsList.associate { it.section to it.version }
        replicas.forEach { assertEquals<Map<String, Long>>(expected, it.versions().inForce) }
    }

    /** Checks that the accepted edits of a section form a chain, each based on the previous one. */
    private fun checkNothingLost(document: StoredDocument) {
        val accepted = results.entries.mapNotNull { (edit, result) ->
            (result as? EditResult.Accepted)?.let { it.generation to edit.changes.single() }
        }
        assertEquals(document.manifest.generation, accepted.size.toLong())
        for ((section, edits) in accepted.groupBy { it.second.section }) {
            val chain = edits.sortedBy { it.first }
            val bases = chain.map { it.second.baseVersion }
            assertEquals(listOf(0L) + chain.map { it.first }.dropLast(1), bases, section)
            assertEquals(chain.last().first, document.version(section))
        }
    }

    private fun editor() =
        DocumentEditor(store, { Instant.fromEpochSeconds(1_000) }, Random(random.nextInt()))

    private companion object {
        const val HOSTS = 6
        const val EDITORS = 3
        const val EDITS = 5
        val SETTLE = 20.seconds
        val NAMES = listOf("fast", "slow", "batch")
    }
}
