/** Decides whether a caller's request may be forwarded, and by which route. */
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
 * What a caller's request says of itself.
 *
 * @property path without the query.
 * @property patience time that the caller will wait, or null when unsaid.
 */
public data class CallerFields(
    public val host: String,
    public val path: String,
    public val id: String?,
    public val key: String?,
    public val patience: Duration?,
    public val prompt: PromptSize?,
    public val resumeAfter: String?,
)

/** Turns requests into calls. Not thread-safe. */
public class Gatekeeper(seed: Long) {
    private val random = Random(seed)
    private var tickets = 0L

    /**
     * Admits a request that came at [now]. A host whose [catalog] may be out of date never says
     * that a route or key does not exist: it says that it does not know.
     *
     * @param current whether the store or a peer has lately confirmed the catalog.
     */
    public fun admit(
        fields: CallerFields,
        catalog: Catalog?,
        current: Boolean,
        now: Instant,
    ): Either<Refusal, Call> {
        if (catalog == null) return unknown("no configuration is known yet")
        val route = catalog.route(fields.host, fields.path)
            ?: return missing(ErrorCode.UNKNOWN_PATH, "no route matches", current)
        val owner = fields.key?.let(catalog::organisation)
        if (owner == null && catalog.needsKeys && !route.anonymous) {
            return missing(ErrorCode.UNAUTHENTICATED, "no organisation owns the key", current)
        }
        return call(fields, route, owner, now).right()
    }

    private fun call(fields: CallerFields, route: Route, owner: Organisation?, now: Instant): Call {
        val localId = ++tickets
        val patience = fields.patience ?: route.timeout
        return Call(
            localId = localId,
            id = fields.id ?: "host-$localId",
            route = route,
            service = pick(route),
            organisation = owner?.id,
            priority = owner?.priority ?: route.priority,
            receivedAt = now,
            deadline = now + minOf(patience, route.timeout),
            prompt = fields.prompt,
            resumeAfter = fields.resumeAfter,
        )
    }

    private fun pick(route: Route): ServiceId {
        var left = random.nextInt(route.split.sumOf { it.weight }.coerceAtLeast(1))
        for (share in route.split) {
            left -= share.weight
            if (left < 0) return share.service
        }
        return route.split.last().service
    }

    private fun missing(code: ErrorCode, detail: String, current: Boolean): Either<Refusal, Call> =
        if (current) Refusal(code, detail).left() else unknown("$detail, but it may be out of date")

    private fun unknown(detail: String): Either<Refusal, Call> =
        Refusal(ErrorCode.NO_DOCUMENT, detail, RETRY).left()

    private companion object {
        /** Time in which another host, or this one, probably knows the configuration. */
        val RETRY = 200.milliseconds
    }
}
