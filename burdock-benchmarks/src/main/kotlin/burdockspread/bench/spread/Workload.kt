/** Entries that the hosts of a fleet publish at the target size. */
package burdockspread.bench.spread

import burdockspread.membership.Presence
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

/** The initial entries of all hosts, and the changes of a normal day. */
internal class Workload(private val fleet: Fleet, seed: Int) {
    private val random = Random(seed)
    private var version = 1_000L

    /** Returns document sections, hosts and targets, with the value sizes of the real schema. */
    fun initialEntries(): ImmutableList<Entry> {
        val organisations = List(ORGANISATIONS) { section("organisation-$it", ORGANISATION_BYTES) }
        val perDomain = fleet.targets / fleet.domains * TARGET_ROW_BYTES
        val domains = List(fleet.domains) { section("domain-$it", perDomain) }
        val others = List(OTHER_SECTIONS) { section("shared-$it", SHARED_BYTES) }
        val presenceVersion = Presence(START_MS).version
        val hosts = fleet.peers.map { host(it.host.value, presenceVersion) }
        val targets = List(fleet.targets) {
            Entry(EntryKey(EntryKind.TARGET, "engine-${it % fleet.domains}-$it"), presenceVersion)
        }
        return (organisations + domains + others + hosts + targets).toImmutableList()
    }

    /** Returns a new version of a random organisation section. */
    fun randomEdit(): Entry =
        section("organisation-${random.nextInt(ORGANISATIONS)}", ORGANISATION_BYTES)

    /**
     * Publishes load periodically: each host that of its targets within its failure domain, and
     * one host of each domain a summary.
     */
    fun publishLoad(run: VirtualFleet) {
        val perHost = fleet.targets / fleet.size * LOAD_ROW_BYTES
        for (peer in fleet.peers) {
            val initialDelay = LOAD_PERIOD * random.nextDouble()
            run.after(initialDelay) {
                run.every(LOAD_PERIOD) { run.put(peer.host, load(peer.host.value, perHost)) }
            }
        }
        for ((domain, peers) in fleet.peers.groupBy { it.domain.value }) {
            run.after(SUMMARY_PERIOD * random.nextDouble()) {
                run.every(SUMMARY_PERIOD) {
                    run.put(peers.first().host, summary(domain))
                }
            }
        }
    }

    /** Publishes [perDay] edits a day, each at a random host. */
    fun publishEdits(run: VirtualFleet, perDay: Int) {
        run.every(1.days / perDay) { run.put(fleet.peers.random(random).host, randomEdit()) }
    }

    /** Replaces [perDay] random hosts a day; each new process announces itself and resyncs. */
    fun replaceHosts(run: VirtualFleet, perDay: Int) {
        run.every(1.days / perDay) {
            val peer = fleet.peers.random(random)
            run.replace(peer, OUTAGE)
            val start = START_MS + run.elapsed.inWholeMilliseconds
            run.after(OUTAGE + 1.seconds) {
                run.put(peer.host, host(peer.host.value, Presence(start).version))
            }
        }
    }

    private fun section(name: String, bytes: Int) =
        Entry(EntryKey(EntryKind.SECTION, name), ++version, value(bytes))

    private fun host(name: String, version: Long) =
        Entry(EntryKey(EntryKind.HOST, name), version, value(HOST_BYTES))

    private fun load(name: String, bytes: Int) =
        Entry(EntryKey(EntryKind.LOAD, name), ++version, value(bytes))

    private fun summary(domain: String) =
        Entry(EntryKey(EntryKind.DOMAIN_LOAD, domain), ++version, value(MODELS * SUMMARY_ROW_BYTES))

    private fun value(bytes: Int) = EntryBytes.of(ByteArray(bytes))

    companion object {
        const val EDITS_PER_DAY = 40_000
        const val REPLACEMENTS_PER_DAY = 2_000
        val LOAD_PERIOD: Duration = 2.seconds
        val SUMMARY_PERIOD: Duration = 5.seconds
        private val OUTAGE = 2.seconds
        private const val START_MS = 1_000_000_000L
        private const val ORGANISATIONS = 650
        private const val ORGANISATION_BYTES = 1_000
        private const val OTHER_SECTIONS = 12
        private const val SHARED_BYTES = 4_000
        private const val TARGET_ROW_BYTES = 95
        private const val HOST_BYTES = 40
        private const val LOAD_ROW_BYTES = 16
        private const val MODELS = 9
        private const val SUMMARY_ROW_BYTES = 24
    }
}
