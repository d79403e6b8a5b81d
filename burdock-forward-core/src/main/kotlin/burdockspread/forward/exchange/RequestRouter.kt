/** Matches a caller's request to a route and authenticates the caller. */
package burdockspread.forward.exchange

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.error.ErrorCode
import burdockspread.error.Refusal
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.catalog.Organisation
import burdockspread.forward.catalog.Route
import burdockspread.id.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * The parts of a caller's request that decide on its routing.
 *
 * @property path path without the query.
 * @property id the caller's own id of this attempt, or null if it sent none.
 * @property callerTimeout time that the caller will wait, or null if it did not say.
 */
public data class CallerFields(
    public val host: String,
    public val path: String,
    public val id: String?,
    public val key: String?,
    public val callerTimeout: Duration?,
    public val prompt: Prompt?,
    public val resumeAfterEventId: String?,
)

/** Resolves requests into calls. Not thread-safe. */
public class RequestRouter(seed: Long) {
    private val random = Random(seed)
    private var lastLocalId = 0L

    /**
     * Resolves a request that arrived at [now]. While [catalog] may be stale, a missing route or
     * key is reported as a temporary failure, not as nonexistent.
     *
     * @param confirmed whether the store or a peer has recently confirmed the catalog.
     */
    public fun resolve(
        fields: CallerFields,
        catalog: Catalog?,
        confirmed: Boolean,
        now: Instant,
    ): Either<Refusal, Call> {
        if (catalog == null) return notReady("no configuration is known yet")
        val route = catalog.route(fields.host, fields.path)
            ?: return notFound(ErrorCode.UNKNOWN_PATH, "no route matches", confirmed)
        val owner = fields.key?.let(catalog::organisation)
        if (owner == null && catalog.requiresKeys && !route.allowsAnonymous) {
            return notFound(ErrorCode.UNAUTHENTICATED, "no organisation owns the key", confirmed)
        }
        return call(fields, route, owner, now).right()
    }

    private fun call(fields: CallerFields, route: Route, owner: Organisation?, now: Instant): Call {
        val localId = ++lastLocalId
        val callerTimeout = fields.callerTimeout ?: route.timeout
        return Call(
            localId = localId,
            id = fields.id ?: "host-$localId",
            route = route,
            service = selectService(route),
            organisation = owner?.id,
            priority = owner?.priority ?: route.priority,
            receivedAt = now,
            deadline = now + minOf(callerTimeout, route.timeout),
            prompt = fields.prompt,
            resumeAfterEventId = fields.resumeAfterEventId,
            isIdentified = fields.id != null,
        )
    }

    private fun selectService(route: Route): ServiceId {
        var remaining = random.nextDouble() * route.split.sumOf { it.weight }
        for (share in route.split) {
            remaining -= share.weight
            if (remaining < 0) return share.service
        }
        // Rounding may leave a remainder of almost zero.
        return route.split.last { it.weight > 0 }.service
    }

    private fun notFound(
        code: ErrorCode,
        detail: String,
        confirmed: Boolean,
    ): Either<Refusal, Call> =
        if (confirmed) Refusal(code, detail).left() else notReady("$detail (catalog may be stale)")

    private fun notReady(detail: String): Either<Refusal, Call> =
        Refusal(ErrorCode.NO_DOCUMENT, detail, CATALOG_RETRY_AFTER).left()

    private companion object {
        /** Time within which this or another host has probably received the configuration. */
        val CATALOG_RETRY_AFTER = 200.milliseconds
    }
}
