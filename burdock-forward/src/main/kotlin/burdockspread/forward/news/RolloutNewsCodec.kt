/** Conversion of rollouts between their form here and that of messages to peers. */
package burdockspread.forward.news

import burdockspread.forward.rollout.ResponseCount
import burdockspread.forward.rollout.RolloutOrder
import burdockspread.forward.rollout.RolloutState
import burdockspread.forward.rollout.RouteTally
import burdockspread.forward.rollout.VersionTally
import burdockspread.id.ServiceId
import burdockspread.wire.forward.RolloutNews
import burdockspread.wire.forward.RouteEvidence
import burdockspread.wire.forward.VersionEvidence
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal fun RolloutOrder.toNews(now: Instant): RolloutNews = RolloutNews.newBuilder()
    .setService(service.value)
    .setVersion(version)
    .setDurationMillis(duration.inWholeMilliseconds)
    .setState(state.name)
    .setStoreVersion(storeVersion)
    .setAgeMillis((now - orderedAt).inWholeMilliseconds)
    .build()

/** Returns the order, or null if a newer program has sent a state that is unknown here. */
internal fun RolloutNews.toOrder(now: Instant): RolloutOrder? {
    val known = RolloutState.entries.firstOrNull { it.name == state } ?: return null
    return RolloutOrder(
        service = ServiceId(service),
        version = version,
        duration = durationMillis.milliseconds,
        orderedAt = now - ageMillis.milliseconds,
        state = known,
        storeVersion = storeVersion,
    )
}

internal fun RolloutOrder.evidence(tally: VersionTally): VersionEvidence {
    val news = VersionEvidence.newBuilder().setService(service.value).setVersion(version)
    tally.routes.forEach { (route, counts) ->
        news.addRoutes(
            RouteEvidence.newBuilder()
                .setRoute(route)
                .setOldResponses(counts.old.responses)
                .setOldBad(counts.old.bad)
                .setNewResponses(counts.new.responses)
                .setNewBad(counts.new.bad),
        )
    }
    return news.build()
}

internal fun VersionEvidence.toTally(): VersionTally = VersionTally(
    routesList.associate {
        it.route to RouteTally(count(it.oldResponses, it.oldBad), count(it.newResponses, it.newBad))
    }.toImmutableMap(),
)

/** Counts of another host, which are bounded since they may be malformed. */
private fun count(responses: Int, bad: Int): ResponseCount {
    val all = responses.coerceIn(0, MAX_RESPONSES)
    return ResponseCount(all, bad.coerceIn(0, all))
}

/** More than one host gets during a rollout. */
private const val MAX_RESPONSES = 1_000_000
