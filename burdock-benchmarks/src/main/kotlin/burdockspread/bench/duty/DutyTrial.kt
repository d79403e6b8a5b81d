/** Measurements of lease traffic and takeover times. */
package burdockspread.bench.duty

import burdockspread.duty.Duty
import burdockspread.duty.LeaseSettings
import burdockspread.id.FailureDomainId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Sets of duties for a fleet of 38 failure domains. */
internal enum class DutyPlan(val title: String) {
    /** The duties that the system runs. */
    CHOSEN("relay, placement by domain, 64 claims"),

    /** Placement duties split by model and failure domain. */
    BY_MODEL("placement by domain and model"),
    ;

    fun duties(): List<Duty> {
        val domains = List(DOMAINS) { FailureDomainId("domain-$it") }
        val claims = List(CLAIM_SHARDS) { Duty.claims(it) }
        val placements = when (this) {
            CHOSEN -> domains.map { Duty.placement(it) }
            BY_MODEL -> domains.flatMap { domain ->
                List(MODELS) { Duty("placement.$domain.$it", domain) }
            }
        }
        return domains.map { Duty.relay(it) } + placements + claims
    }

    companion object {
        const val DOMAINS = 38
        private const val CLAIM_SHARDS = 64
        private const val MODELS = 9
    }
}

/** Store calls per second. */
internal data class StoreCalls(val duties: Int, val writes: Double, val reads: Double)

/** Times until every duty of a lost holder has a new holder. */
internal data class Takeovers(val times: List<Duration>) {
    val median: Duration get() = times.sorted()[times.size / 2]
    val longest: Duration get() = times.max()
}

/**
 * Measures fleets of 38 failure domains. Few hosts per domain suffice, because the number of store
 * calls depends on the duties, not on the hosts.
 */
internal class DutyTrial(private val seed: Int, private val settings: LeaseSettings) {
    fun measureCalls(duties: List<Duty>, contested: Boolean): StoreCalls {
        val fleet = start(duties, contested)
        val reads = fleet.reads
        val writes = fleet.writes
        fleet.run(MEASUREMENT_TIME)
        check(fleet.heldCount == duties.size) { "${fleet.heldCount}/${duties.size} duties held" }
        val seconds = MEASUREMENT_TIME.toDouble(DurationUnit.SECONDS)
        return StoreCalls(
            duties.size,
            (fleet.writes - writes) / seconds,
            (fleet.reads - reads) / seconds,
        )
    }

    /** Crashes the busiest host [rounds] times; membership reports it after [detectionDelay]. */
    fun measureCrashes(rounds: Int, detectionDelay: Duration): Takeovers {
        val duties = DutyPlan.CHOSEN.duties()
        val fleet = start(duties, false)
        return Takeovers(
            List(rounds) {
                fleet.crash(fleet.busiest().key)
                val untilNotice = fleet.run(detectionDelay) { fleet.heldCount == duties.size }
                fleet.publishMembership()
                val time = untilNotice + fleet.run(TIMEOUT) { fleet.heldCount == duties.size }
                fleet.restartAll()
                fleet.run(RECOVERY_TIME)
                time
            },
        )
    }

    /** Drains the busiest host [rounds] times; membership reports it after [noticeDelay]. */
    fun measureDrains(rounds: Int, noticeDelay: Duration): Takeovers {
        val duties = DutyPlan.CHOSEN.duties()
        val fleet = start(duties, false)
        return Takeovers(
            List(rounds) {
                val host = fleet.busiest().key
                fleet.drain(host)
                val untilNotice = fleet.run(noticeDelay)
                fleet.crash(host)
                fleet.publishMembership()
                val time = untilNotice + fleet.run(TIMEOUT) { fleet.heldCount == duties.size }
                fleet.restartAll()
                fleet.run(RECOVERY_TIME)
                time
            },
        )
    }

    private fun start(duties: List<Duty>, contested: Boolean): DutyFleet {
        val fleet = DutyFleet(DutyPlan.DOMAINS, HOSTS_PER_DOMAIN, duties, settings, contested, seed)
        fleet.run(SETTLE_TIME)
        return fleet
    }

    companion object {
        const val SEED = 20_262
        private const val HOSTS_PER_DOMAIN = 4
        private val SETTLE_TIME = 30.seconds
        private val RECOVERY_TIME = 20.seconds
        private val MEASUREMENT_TIME = 60.seconds
        private val TIMEOUT = 120.seconds
    }
}
