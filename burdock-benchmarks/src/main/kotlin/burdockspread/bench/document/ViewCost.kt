/** Time and memory that the document takes on one host. */
package burdockspread.bench.document

import burdockspread.document.CanonicalJson
import burdockspread.document.DocumentReplica
import burdockspread.document.DocumentValidator
import burdockspread.document.DocumentView
import burdockspread.document.SectionBody
import burdockspread.document.SectionReader
import burdockspread.document.VersionedSection
import burdockspread.id.ModelId
import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.measureTime

/** Measures building, validating and querying a document of [size] on this machine. */
internal class ViewCost(size: FleetSize) {
    private val sections = BenchDocument(size).sections()
    private val bodies: List<SectionBody> =
        sections.map { checkNotNull(SectionReader.read(it).getOrNull()) }
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    /** Returns the measurements as lines of text. */
    fun lines(): List<String> {
        val view = DocumentView.of(bodies)
        val buildTime = bestTime { DocumentView.of(bodies) }
        val checkTime = bestTime { DocumentValidator.validate(bodies) }
        val buildBytes = allocBytes { DocumentView.of(bodies) }
        val targetsNanos = nanosPerCall { view.targetsOf(ModelId("model-3")).size }
        val key = view.organisations.last().apiKeyHashes.first()
        val lookupNanos = nanosPerCall { if (view.organisationByKeyHash(key) == null) 0 else 1 }
        val lookupBytes = allocBytes { repeat(CALLS) { view.organisationByKeyHash(key) } } / CALLS
        return listOf(
            "view build            $buildTime, $buildBytes bytes allocated",
            "check of all sections $checkTime",
            "edit of one target    ${offerTime()} (parse, check, build)",
            "targets of a model    $targetsNanos ns",
            "organisation by key   $lookupNanos ns, $lookupBytes bytes allocated",
            "heap of one replica   ${heapKib()} KiB",
        )
    }

    private fun offerTime(): Duration {
        val replica = filledReplica()
        val zone = sections.last()
        var version = sections.size.toLong()
        return bestTime {
            version++
            replica.offer(
                VersionedSection.of(zone.name, version, CanonicalJson.write(zone, version)),
            )
        }
    }

    private fun heapKib(): Long {
        val before = usedHeapBytes()
        val replica = filledReplica()
        val after = usedHeapBytes()
        check(!replica.view().isEmpty)
        return (after - before) / KIB
    }

    private fun filledReplica(): DocumentReplica {
        val replica = DocumentReplica()
        sections.forEachIndexed { i, section ->
            val version = i + 1L
            replica.offer(section.name, version, CanonicalJson.write(section, version))
        }
        return replica
    }

    private fun usedHeapBytes(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private fun bestTime(run: () -> Unit): Duration = List(REPETITIONS) { measureTime(run) }.min()

    private fun nanosPerCall(call: () -> Int): Long {
        var sum = 0L
        val time = bestTime { repeat(CALLS) { sum += call() } }
        check(sum > 0)
        return (time / CALLS).inWholeNanoseconds
    }

    private fun allocBytes(run: () -> Unit): Long {
        val id = Thread.currentThread().id
        run()
        val before = threads.getThreadAllocatedBytes(id)
        run()
        return threads.getThreadAllocatedBytes(id) - before
    }

    private companion object {
        const val REPETITIONS = 30
        const val CALLS = 100_000
        const val KIB = 1_024
    }
}
