/** Cost of the document on one host. */
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

/** Figures of one run on this machine. */
internal class ViewCost(size: FleetSize) {
    private val sections = BenchDocument(size).sections()
    private val bodies: List<SectionBody> =
        sections.map { checkNotNull(SectionReader.read(it).getOrNull()) }
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    /** Lines to print. */
    fun lines(): List<String> {
        val view = DocumentView.of(bodies)
        val build = best { DocumentView.of(bodies) }
        val check = best { DocumentValidator.validate(bodies) }
        val buildBytes = allocated { DocumentView.of(bodies) }
        val lookup = nanosOf { view.targetsOf(ModelId("model-3")).size }
        val key = view.organisations.last().apiKeyHashes.first()
        val byKey = nanosOf { if (view.organisationByKeyHash(key) == null) 0 else 1 }
        val lookupBytes = allocated { repeat(CALLS) { view.organisationByKeyHash(key) } } / CALLS
        return listOf(
            "view build            $build, $buildBytes bytes allocated",
            "check of all sections $check",
            "edit of one target    ${offerTime()} (parse, check, build)",
            "targets of a model    $lookup ns",
            "organisation by key   $byKey ns, $lookupBytes bytes allocated",
            "heap of one holder    ${heapKib()} KiB",
        )
    }

    private fun offerTime(): Duration {
        val holder = filledHolder()
        val zone = sections.last()
        var version = sections.size.toLong()
        return best {
            version++
            holder.offer(
                VersionedSection.of(zone.name, version, CanonicalJson.write(zone, version)),
            )
        }
    }

    private fun heapKib(): Long {
        val before = usedBytes()
        val holder = filledHolder()
        val after = usedBytes()
        check(!holder.view().isEmpty)
        return (after - before) / KIB
    }

    private fun filledHolder(): DocumentReplica {
        val holder = DocumentReplica()
        sections.forEachIndexed { i, section ->
            val version = i + 1L
            holder.offer(section.name, version, CanonicalJson.write(section, version))
        }
        return holder
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private fun best(run: () -> Unit): Duration = List(ROUNDS) { measureTime(run) }.min()

    private fun nanosOf(call: () -> Int): Long {
        var sum = 0L
        val time = best { repeat(CALLS) { sum += call() } }
        check(sum > 0)
        return (time / CALLS).inWholeNanoseconds
    }

    private fun allocated(run: () -> Unit): Long {
        val id = Thread.currentThread().id
        run()
        val before = threads.getThreadAllocatedBytes(id)
        run()
        return threads.getThreadAllocatedBytes(id) - before
    }

    private companion object {
        const val ROUNDS = 30
        const val CALLS = 100_000
        const val KIB = 1_024
    }
}
