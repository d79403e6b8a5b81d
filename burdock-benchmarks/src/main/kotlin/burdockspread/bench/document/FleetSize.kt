/** Fleet sizes that the benchmark compares. */
package burdockspread.bench.document

/**
 * The size of a fleet.
 *
 * @property hosts entry hosts.
 * @property domains failure domains.
 * @property targets targets of all failure domains.
 */
internal data class FleetSize(
    val hosts: Int,
    val domains: Int,
    val targets: Int,
    val organisations: Int,
) {
    companion object {
        /** Sizes from the current fleet to the target size. */
        val ALL = listOf(
            FleetSize(hosts = 15, domains = 4, targets = 30, organisations = 10),
            FleetSize(hosts = 60, domains = 8, targets = 1_400, organisations = 80),
            FleetSize(hosts = 130, domains = 12, targets = 3_000, organisations = 160),
            FleetSize(hosts = 260, domains = 24, targets = 6_000, organisations = 325),
            FleetSize(hosts = 520, domains = 38, targets = 12_000, organisations = 650),
        )

        /** Edits per second at 40,000 a day. */
        const val EDITS_PER_SECOND = 40_000 / 86_400.0
    }
}
