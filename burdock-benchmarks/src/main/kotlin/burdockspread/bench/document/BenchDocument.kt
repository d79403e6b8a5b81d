/** Generated documents for the benchmark. */
package burdockspread.bench.document

import burdockspread.document.SectionReader
import burdockspread.wire.document.Section

/**
 * Builds the sections of a document: one per failure domain and one per [PER_SECTION]
 * organisations.
 */
internal class BenchDocument(private val size: FleetSize) {
    val organisationSections: Int = (size.organisations + PER_SECTION - 1) / PER_SECTION

    /** Returns all sections, without versions. */
    fun sections(): List<Section> = listOf(root(), models(), priorities()) +
        List(organisationSections) { organisations(it) } +
        List(size.domains) { domain(it) }

    private fun root(): Section {
        val names = listOf("root", "models", "priorities") +
            List(organisationSections) { "organisations-$it" } +
            List(size.domains) { "zone-$it" }
        val entries = names.joinToString { """{"name": "$it", "owner": "ops"}""" }
        return section("root", """"root": {"sections": [$entries]}""")
    }

    private fun models(): Section {
        val list = List(MODELS) { """{"name": "model-$it", "version": "1", "maxTokens": 9000}""" }
        return section("models", """"models": {"models": [${list.joinToString()}]}""")
    }

    private fun priorities(): Section {
        val recovery = """{"mode": "RESUME_EARLY", "stallMultiple": 8, "minStall": "0.2s",
            "maxStall": "2s", "maxAttempts": 4}"""
        val list = listOf("counter", "batch").joinToString {
            """{"name": "$it", "firstTokenDeadline": "0.64s", "recovery": $recovery}"""
        }
        return section("priorities", """"priorities": {"priorities": [$list]}""")
    }

    private fun organisations(part: Int): Section {
        val first = part * PER_SECTION
        val last = minOf(size.organisations, first + PER_SECTION)
        val list = (first until last).joinToString { i ->
            """{"name": "org-$i", "apiKeySha256": ["${hash(i)}"], "defaultPriority": "counter",
                "limits": {"requestsPerSecond": 90, "tokensPerSecond": 20000, "concurrent": 40,
                "cutOffFloor": 0.05}}"""
        }
        return section("organisations-$part", """"organisations": {"organisations": [$list]}""")
    }

    private fun domain(index: Int): Section {
        val hosts = (index until size.hosts step size.domains).joinToString {
            """{"name": "host-$it", "peerAddress": "${address(it, HOST_PORT)}"}"""
        }
        val targets = (index until size.targets step size.domains).joinToString { i ->
            """{"name": "engine-$i", "address": "${address(i, TARGET_PORT)}",
                "models": ["model-${i % MODELS}"], "batchSlots": 32, "checksFencing": true}"""
        }
        return section(
            "zone-$index",
            """"failureDomain": {"name": "zone-$index", "region": "region-${index % REGIONS}",
                "hosts": [$hosts], "targets": [$targets]}""",
        )
    }

    private fun section(name: String, body: String): Section {
        val text = """{"name": "$name", "owner": "ops", $body}"""
        return checkNotNull(SectionReader.parse(name, text).getOrNull())
    }

    private fun address(i: Int, port: Int) = "10.${i / 65_536}.${i / 256 % 256}.${i % 256}:$port"

    /** Returns random hex digits, which compress as poorly as a real hash. */
    private fun hash(i: Int): String {
        val random = kotlin.random.Random(i)
        return List(64) { "0123456789abcdef"[random.nextInt(16)] }.joinToString("")
    }

    companion object {
        const val PER_SECTION = 100
        private const val MODELS = 9
        private const val REGIONS = 10
        private const val HOST_PORT = 7_000
        private const val TARGET_PORT = 8_000
    }
}
