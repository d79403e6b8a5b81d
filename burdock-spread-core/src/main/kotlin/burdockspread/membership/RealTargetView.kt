/** The in-memory target view. */
package burdockspread.membership

import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentHashSet
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Instant

internal class RealTargetView(private val settings: TargetViewSettings) : TargetView {
    private val table = PresenceTable<TargetId>()
    private val failures = HashMap<TargetId, FailureCounter>()
    private var documentTargets = emptyMap<TargetId, DocumentTarget>()
    private var presences = persistentHashMapOf<TargetId, Presence>()
    private var leaving = persistentHashSetOf<TargetId>()

    override val snapshot: AtomicReference<TargetSnapshot> =
        AtomicReference(TargetSnapshot(presences, leaving, leaving))

    override fun onDocument(
        targets: ImmutableList<DocumentTarget>,
        now: Instant,
    ): ImmutableList<TargetEffect> {
        val before = documentTargets
        documentTargets = targets.associateBy { it.target }
        leaving = targets.filter { it.leaving }.map { it.target }.toPersistentHashSet()
        val effects = before.values
            .filter { it.target !in documentTargets && it.domain == settings.domain }
            .mapNotNull { removed -> table.get(removed.target)?.let { removed.target to it } }
            .mapNotNull { (id, known) -> declare(id, known.copy(suspicion = Suspicion.DEAD), now) }
        updateSnapshot(now)
        return effects.toImmutableList()
    }

    override fun onPresence(target: TargetId, presence: Presence, now: Instant) {
        if (accept(target, presence, now)) updateSnapshot(now)
    }

    override fun onPlatformList(
        reports: ImmutableList<PlatformReport<TargetId>>,
        now: Instant,
    ): ImmutableList<TargetEffect> {
        val effects = reports.mapNotNull { report ->
            table.onPlatform(report)?.let { declare(report.id, it, now) }
        }
        updateSnapshot(now)
        return effects.toImmutableList()
    }

    override fun onResponse(
        target: TargetId,
        incarnation: Long?,
        leaving: Boolean,
        now: Instant,
    ): ImmutableList<TargetEffect> {
        val previousFailures = failures.remove(target)
        val restarted = previousFailures != null && previousFailures.refusals > 0 && !leaving
        val observed = observedPresence(
            target,
            incarnation ?: inferIncarnation(target, restarted),
            leaving,
        )
        val effect = observed?.let { declare(target, it, now) }
        if (previousFailures != null || effect != null) updateSnapshot(now)
        return listOfNotNull(effect).toImmutableList()
    }

    override fun onRefused(target: TargetId, now: Instant): ImmutableList<TargetEffect> {
        val counter = failures.getOrPut(target) { FailureCounter() }
        counter.onRefused(now)
        val known = table.get(target)
        val shouldSuspect = counter.refusals >= settings.refusalsToSuspect && isInDomain(target)
        val effect = if (shouldSuspect && known != null && known.suspicion == Suspicion.NONE) {
            declare(target, known.copy(suspicion = Suspicion.SUSPECT), now)
        } else {
            null
        }
        updateSnapshot(now)
        return listOfNotNull(effect).toImmutableList()
    }

    override fun onTimeout(target: TargetId, now: Instant) {
        failures.getOrPut(target) { FailureCounter() }.onTimeout(now)
        updateSnapshot(now)
    }

    override fun tick(now: Instant) {
        failures.values.removeAll { !it.isRecent(now, settings.retentionPeriod) }
        table.removeDead(now - settings.retentionPeriod)
            .forEach { presences = presences.remove(it) }
        updateSnapshot(now)
    }

    /**
     * Infers the incarnation of a target that does not report one: a leaving target that refused
     * connections and responds again has restarted.
     */
    private fun inferIncarnation(target: TargetId, restarted: Boolean): Long {
        val known = table.get(target) ?: return 0
        return if (known.leaving && restarted) known.incarnation + 1 else known.incarnation
    }

    /**
     * Returns the presence that follows from a response, or null for a lower incarnation, because
     * that is a late response of an earlier process.
     */
    private fun observedPresence(target: TargetId, incarnation: Long, leaving: Boolean): Presence? {
        val known = table.get(target)
        if (known == null || incarnation > known.incarnation) return Presence(incarnation, leaving)
        if (incarnation < known.incarnation) return null
        val refuted = known.refuted()
        return refuted.copy(leaving = known.leaving || leaving)
    }

    private fun declare(target: TargetId, presence: Presence, now: Instant): TargetEffect? =
        if (accept(target, presence, now)) TargetEffect.Publish(target, presence) else null

    private fun accept(target: TargetId, presence: Presence, now: Instant): Boolean {
        if (!table.put(target, presence, now)) return false
        presences = presences.put(target, presence)
        return true
    }

    private fun isInDomain(target: TargetId): Boolean =
        documentTargets[target]?.domain == settings.domain

    private fun updateSnapshot(now: Instant) {
        val ejected = failures.filterValues { isEjected(it, now) }.keys.toPersistentHashSet()
        snapshot.set(TargetSnapshot(presences, leaving, ejected))
    }

    private fun isEjected(counter: FailureCounter, now: Instant): Boolean {
        val failing = counter.refusals > 0 || counter.timeouts >= settings.timeoutsToEject
        return failing && counter.isRecent(now, settings.ejectionPeriod)
    }
}
