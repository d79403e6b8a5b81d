/** Cost of edits in store calls and in bytes sent to hosts. */
package burdockspread.bench.document

import burdockspread.document.CanonicalJson
import burdockspread.document.SectionDeltas
import burdockspread.document.VersionedSection
import burdockspread.document.edit.DocumentEditor
import burdockspread.document.edit.DocumentReader
import burdockspread.document.edit.Edit
import burdockspread.document.edit.EditChange
import burdockspread.document.edit.EditResult
import burdockspread.document.edit.StoredDocument
import burdockspread.document.relay.RelayCore
import burdockspread.document.relay.RelayEffect
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.json.ProtoJson
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.wire.document.Section
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Mean costs per edit.
 *
 * @property reads reads by the editor.
 * @property writes writes by the editor.
 * @property relayReads reads by one relay in addition to its watch.
 * @property watchBytes bytes that one watch of the document delivers.
 * @property plainBytes bytes that a watch would deliver if a section were an uncompressed object.
 * @property entryBytes bytes of the compressed section as sent between hosts.
 * @property deltaBytes bytes of the delta alone.
 */
internal data class EditCost(
    val reads: Double,
    val writes: Double,
    val relayReads: Double,
    val watchBytes: Double,
    val plainBytes: Double,
    val entryBytes: Double,
    val deltaBytes: Double,
    val documentBytes: Long,
    val manifestBytes: Long,
)

/** Applies real edits to a [CountingStore]. */
internal class EditCostRun(size: FleetSize, seed: Int) {
    private val random = Random(seed)
    private val document = BenchDocument(size)
    private val store = CountingStore(FakeObjectStore())
    private val editor =
        DocumentEditor(store, { Instant.fromEpochSeconds(0) }, Random(random.nextInt()))
    private var edits = 0
    private var plainBytes = 0L
    private var entryBytes = 0L
    private var deltaBytes = 0L

    /** Applies [count] edits, each to one element of a random section. */
    fun run(count: Int): EditCost = runBlocking {
        apply(document.sections())
        val start = read()
        val relay = RelayCore()
        store.events.flatMap { relay.onEvent(it) }
            .filterIsInstance<RelayEffect.Fetch>()
            .forEach { relay.onRead(stored(it)) }
        store.events.clear()
        store.reads = 0
        store.writes = 0
        repeat(count) { editOnce() }
        val putEvents = store.events.filterIsInstance<WatchEvent.Put>()
        val effects = store.events.flatMap { relay.onEvent(it) }
        check(effects.count { it is RelayEffect.Publish } == count)
        EditCost(
            store.reads.toDouble() / count - BENCHMARK_READS,
            store.writes.toDouble() / count,
            effects.count { it is RelayEffect.Fetch }.toDouble() / count,
            putEvents.sumOf { it.value.value.length }.toDouble() / count,
            plainBytes.toDouble() / count,
            entryBytes.toDouble() / count,
            deltaBytes.toDouble() / count,
            start.contents.values.sumOf { CanonicalJson.write(it.section, 1).length.toLong() },
            ProtoJson.writeLine(read().manifest).length.toLong(),
        )
    }

    private suspend fun stored(fetch: RelayEffect.Fetch): StoredObject =
        (store.get(fetch.key) as ReadResult.Found).value

    private suspend fun editOnce() {
        val old = read().contents.values.map { it.section }
            .filter { it.hasFailureDomain() || it.hasOrganisations() }
            .random(random)
        val next = if (old.hasFailureDomain()) changeTarget(old) else changeLimit(old)
        val version = apply(listOf(next))
        val json = CanonicalJson.write(next, version)
        plainBytes += json.length
        entryBytes += VersionedSection.of(next.name, version, json).value.size()
        val delta = SectionDeltas.between(old, CanonicalJson.normalise(next, version))
        deltaBytes += delta.serializedSize
    }

    private fun changeTarget(section: Section): Section {
        val builder = section.toBuilder()
        val targets = builder.failureDomainBuilder.targetsBuilderList
        val target = targets.random(random)
        target.leaving = !target.leaving
        return builder.build()
    }

    private fun changeLimit(section: Section): Section {
        val builder = section.toBuilder()
        val organisation = builder.organisationsBuilder.organisationsBuilderList.random(random)
        organisation.limitsBuilder.concurrent = random.nextInt(1, 1_000)
        return builder.build()
    }

    private suspend fun apply(sections: List<Section>): Long {
        val changes = sections.map { EditChange.Write(it) }.toImmutableList()
        val edit = Edit("e${edits++}", "ops", "ops/bench", "", changes)
        val result = editor.apply(edit)
        return (result as? EditResult.Accepted)?.generation ?: error("$result")
    }

    private suspend fun read(): StoredDocument =
        checkNotNull(DocumentReader(store).read().getOrNull())

    private companion object {
        // The benchmark itself lists the document once per edit, as `get` does.
        const val BENCHMARK_READS = 1
    }
}
