/** Assigns hosts to failure domains and regions, and models the network delay between them. */
package burdockspread.bench.spread

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId
import burdockspread.spread.Peer
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** A fleet of [size] hosts with domains, regions and targets scaled down from the full size. */
internal class Fleet(val size: Int) {
    val domains: Int =
        maxOf(MIN_DOMAINS, (size * FULL_DOMAINS / FULL_HOSTS.toDouble()).roundToInt())
    val regions: Int = maxOf(1, (domains * FULL_REGIONS / FULL_DOMAINS.toDouble()).roundToInt())
    val targets: Int = size * FULL_TARGETS / FULL_HOSTS

    val peers: List<Peer> = List(size) { i ->
        val domain = i % domains
        Peer(
            HostId("entry-$domain-$i"),
            FailureDomainId("domain-$domain"),
            "region-${domain % regions}",
        )
    }

    /** Returns the one-way network delay of a message. */
    fun delay(from: Peer, to: Peer): Duration = when {
        from.domain == to.domain -> 200.microseconds
        from.region == to.region -> 600.microseconds
        else -> interRegionDelay(from.region, to.region)
    }

    private fun interRegionDelay(a: String, b: String): Duration {
        val pair = if (a < b) "$a $b" else "$b $a"
        return Random(pair.hashCode()).nextInt(15, 110).milliseconds
    }

    companion object {
        const val FULL_HOSTS = 520
        const val FULL_TARGETS = 12_000
        private const val FULL_DOMAINS = 38
        private const val FULL_REGIONS = 10
        private const val MIN_DOMAINS = 3
    }
}
