package burdockspread.forward

import burdockspread.forward.catalog.CallKind
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.catalog.EngineSpec
import burdockspread.forward.catalog.Organisation
import burdockspread.forward.catalog.Route
import burdockspread.forward.catalog.Service
import burdockspread.forward.catalog.WeightedService
import burdockspread.forward.directory.TargetEntry
import burdockspread.id.FailureDomainId
import burdockspread.id.OrganisationId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Builders of small catalogs and targets. */
object Fixture {
    val START: Instant = Instant.fromEpochSeconds(1_000_000)
    val DRAFTS = ServiceId("drafts")
    val DESK = ServiceId("desk")

    fun target(
        name: String,
        service: ServiceId = DRAFTS,
        domain: String = "north",
        address: String = "10.0.0.${name.hashCode().mod(250) + 1}:80",
        isDraining: Boolean = false,
        startedAtMillis: Long = 1,
        slots: Int = 6,
    ) = TargetEntry(
        TargetId(name),
        service,
        address,
        FailureDomainId(domain),
        slots,
        isDraining,
        startedAtMillis,
        1,
    )

    fun route(
        kind: CallKind,
        prefix: String = "/a/",
        service: ServiceId = if (kind.isStream) DRAFTS else DESK,
        maxAttempts: Int = if (kind.isRepeatable) 3 else 1,
    ) = Route(
        name = "r$prefix",
        host = "one.example",
        pathPrefix = prefix,
        kind = kind,
        timeout = 25.seconds,
        latencyObjective = if (kind.isStream) 4_500.milliseconds else 100.milliseconds,
        pauseObjective = null,
        priority = 1,
        maxAttempts = maxAttempts,
        allowsAnonymous = false,
        split = persistentListOf(WeightedService(service, 1.0)),
    )

    fun engineService(kvCacheTokens: Int = 55_000, slots: Int = 12) =
        Service(DRAFTS, 300, EngineSpec(slots, kvCacheTokens, replicatesKvCache = true))

    fun plainService() = Service(DESK, 300, null)

    fun catalog(version: Long, vararg routes: Route) = Catalog(
        version = version,
        routes = routes.toList().toImmutableList(),
        services = listOf(engineService(), plainService()).associateBy { it.id }.toImmutableMap(),
        organisations = persistentListOf(
            Organisation(OrganisationId("barbers"), persistentListOf("key-1"), 3),
        ),
        limits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds),
    )
}
