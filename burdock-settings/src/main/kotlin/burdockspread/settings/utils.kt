/** Settings loaders of the daemons and their validation rules. */
package burdockspread.settings

import burdockspread.wire.settings.EntrySettings
import burdockspread.wire.settings.ForwardSettings
import burdockspread.wire.settings.HostSettings
import burdockspread.wire.settings.StewardSettings
import burdockspread.wire.settings.StoreSettings
import kotlin.time.Duration.Companion.seconds

/** Longest time that an order to a target may take; a lease must leave room for it. */
private val MAX_ORDER_DURATION = 3.seconds

/** Upper bound of the shared slack of a retry budget, far above the requests of one window. */
private const val MAX_RETRY_SLACK = 1_000_000.0

/** Loader of the settings of `burdock-entry`. */
public val entrySettingsLoader: SettingsLoader<EntrySettings> =
    SettingsLoader(EntrySettings.getDefaultInstance()) { settings ->
        host(settings.host)
        address("callerAddress", settings.callerAddress)
        address("operatorAddress", settings.operatorAddress)
        address("peerAddress", settings.peerAddress)
        val ports = listOf(settings.callerAddress, settings.operatorAddress, settings.peerAddress)
        check("peerAddress", ports.distinct() == ports, "each port must have its own address")
        store(settings.store)
        callerLimits(settings)
        journal(settings)
        positive("drain.deadline", settings.drain.deadline)
        settings.seedPeersList.forEachIndexed { i, peer -> address("seedPeers[$i]", peer) }
    }

/** Loader of the settings of `burdock-steward`. */
public val stewardSettingsLoader: SettingsLoader<StewardSettings> =
    SettingsLoader(StewardSettings.getDefaultInstance()) { settings ->
        host(settings.host)
        address("operatorAddress", settings.operatorAddress)
        store(settings.store)
        val duties = settings.duties
        positive("duties.lease", duties.lease)
        positive("duties.renew", duties.renew)
        positive("duties.margin", duties.margin)
        val slackTime =
            duties.lease.toKotlinDuration() -
                duties.margin.toKotlinDuration() -
                duties.renew.toKotlinDuration()
        check(
            "duties.renew",
            slackTime > MAX_ORDER_DURATION,
            "lease must exceed renew and margin together by more than $MAX_ORDER_DURATION",
        )
        settings.seedPeersList.forEachIndexed { i, peer -> address("seedPeers[$i]", peer) }
    }

/** Validates the settings of the store client. */
public fun SettingsRules.store(settings: StoreSettings) {
    address("store.address", settings.address)
    required("store.namespace", settings.namespace)
    positive("store.callTimeout", settings.callTimeout)
}

private fun SettingsRules.host(settings: HostSettings) {
    required("host.name", settings.name)
    required("host.failureDomain", settings.failureDomain)
}

private fun SettingsRules.callerLimits(settings: EntrySettings) {
    val limits = settings.callerLimits
    positive("callerLimits.maxBodyKib", limits.maxBodyKib)
    positive("callerLimits.maxOpenRequests", limits.maxOpenRequests)
    positive("callerLimits.requestTimeout", limits.requestTimeout)
    positive("callerLimits.writeTimeout", limits.writeTimeout)
    positive("callerLimits.idleTimeout", limits.idleTimeout)
}

private fun SettingsRules.journal(settings: EntrySettings) {
    val journal = settings.journal
    check("journal.copies", journal.copies >= 0, "must not be negative")
    positive("journal.maxCopiesMib", journal.maxCopiesMib)
    positive("journal.copyAfter", journal.copyAfter)
    positive("journal.copyInterval", journal.copyInterval)
    positive("journal.keepFinished", journal.keepFinished)
}

/** Loader of the settings of `burdock-forward`. */
public val forwardSettingsLoader: SettingsLoader<ForwardSettings> =
    SettingsLoader(ForwardSettings.getDefaultInstance()) { settings ->
        host(settings.host)
        address("callerAddress", settings.callerAddress)
        address("readyAddress", settings.readyAddress)
        address("peerAddress", settings.peerAddress)
        if (settings.loadAddress.isNotEmpty()) address("loadAddress", settings.loadAddress)
        address("operatorAddress", settings.operatorAddress)
        address("storeAddress", settings.storeAddress)
        val ports = listOf(
            settings.callerAddress,
            settings.readyAddress,
            settings.peerAddress,
            settings.operatorAddress,
        )
        check("operatorAddress", ports.distinct() == ports, "each port must have its own address")
        settings.seedPeersList.forEachIndexed { i, peer -> address("seedPeers[$i]", peer) }
        check("retries.ratio", settings.retries.ratio in 0.0..1.0, "must be between 0 and 1")
        check(
            "retries.slack",
            settings.retries.slack in 0.0..MAX_RETRY_SLACK,
            "must be between 0 and ${MAX_RETRY_SLACK.toInt()}",
        )
        positive("stopGrace", settings.stopGrace)
        notNegative("targetLeaveLimitMillis", settings.targetLeaveLimitMillis)
        notNegative("catalogApplyLimitMillis", settings.catalogApplyLimitMillis)
        notNegative("targetReportIntervalMillis", settings.targetReportIntervalMillis)
    }
