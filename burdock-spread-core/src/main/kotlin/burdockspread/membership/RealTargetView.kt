/** The target view that is kept in memory. */
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
    private val view = PresenceView<TargetId>()
    private val failures = HashMap<TargetId, Failures>()
    private var document = emptyMap<TargetId, DocumentTarget>()
    private var presences = persistentHashMapOf<TargetId, Presence>()
    private var leaving = persistentHashSetOf<TargetId>()

    override val snapshot: AtomicReference<TargetSnapshot> =
        AtomicReference(TargetSnapshot(presences, leaving, leaving))

    override fun onDocument(
        targets: ImmutableList<DocumentTarget>,
        now: Instant,
    ): ImmutableList<TargetEffect> {
        val before = document
        document = targets.associateBy { it.target }
        leaving = targets.filter { it.leaving }.map { it.target }.toPersistentHashSet()
        val effects = before.values
            .filter { it.target !in document && it.domain == settings.domain }
            .mapNotNull { removed -> view.get(removed.target)?.let { removed.target to it } }
            .mapNotNull { (id, held) -> declare(id, held.copy(suspicion = Suspicion.DEAD), now) }
        refresh(now)
        return effects.toImmutableList()
    }

    override fun onPresence(target: TargetId, presence: Presence, now: Instant) {
        if (accept(target, presence, now)) refresh(now)
    }

    override fun onPlatformList(
        reports: ImmutableList<PlatformReport<TargetId>>,
        now: Instant,
    ): ImmutableList<TargetEffect> {
        val effects = reports.mapNotNull { report ->
            view.onPlatform(report)?.let { declare(report.id, it, now) }
        }
        refresh(now)
        return effects.toImmutableList()
    }

    override fun onResponse(
        target: TargetId,
        incarnation: Long?,
        leaving: Boolean,
        now: Instant,
    ): ImmutableList<TargetEffect> {
        val failed = failures.remove(target)
        val restarted = failed != null && failed.refusals > 0 && !leaving
        val seen = seenPresence(target, incarnation ?: inferred(target, restarted), leaving)
        val effect = seen?.let { declare(target, it, now) }
        if (failed != null || effect != null) refresh(now)
        return listOfNotNull(effect).toImmutableList()
    }

    override fun onRefused(target: TargetId, now: Instant): ImmutableList<TargetEffect> {
        val seen = failures.getOrPut(target) { Failures() }
        seen.onRefused(now)
        val held = view.get(target)
        val due = seen.refusals >= settings.refusalsToSuspect && isInDomain(target)
        val effect = if (due && held != null && held.suspicion == Suspicion.NONE) {
            declare(target, held.copy(suspicion = Suspicion.SUSPECT), now)
        } else {
            null
        }
        refresh(now)
        return listOfNotNull(effect).toImmutableList()
    }

    override fun onTimeout(target: TargetId, now: Instant) {
        failures.getOrPut(target) { Failures() }.onTimeout(now)
        refresh(now)
    }

    override fun tick(now: Instant) {
        failures.values.removeAll { !it.isRecent(now, settings.forgetPeriod) }
        view.forgetDead(now - settings.forgetPeriod).forEach { presences = presences.remove(it) }
        refresh(now)
    }

    /** Incarnation of a target that tells none: refused while leaving, then back, is a new one. */
    private fun inferred(target: TargetId, restarted: Boolean): Long {
        val held = view.get(target) ?: return 0
        return if (held.leaving && restarted) held.incarnation + 1 else held.incarnation
    }

    /** An old process may still answer late, so a lower incarnation says nothing. */
    private fun seenPresence(target: TargetId, incarnation: Long, leaving: Boolean): Presence? {
        val held = view.get(target)
        if (held == null || incarnation > held.incarnation) return Presence(incarnation, leaving)
        if (incarnation < held.incarnation) return null
        val refuted = held.refuted()
        return refuted.copy(leaving = held.leaving || leaving)
    }

    private fun declare(target: TargetId, presence: Presence, now: Instant): TargetEffect? =
        if (accept(target, presence, now)) TargetEffect.Publish(target, presence) else null

    private fun accept(target: TargetId, presence: Presence, now: Instant): Boolean {
        if (!view.put(target, presence, now)) return false
        presences = presences.put(target, presence)
        return true
    }

    private fun isInDomain(target: TargetId): Boolean = document[target]?.domain == settings.domain

    private fun refresh(now: Instant) {
        val avoided = failures.filterValues { isAvoided(it, now) }.keys.toPersistentHashSet()
        snapshot.set(TargetSnapshot(presences, leaving, avoided))
    }

    private fun isAvoided(seen: Failures, now: Instant): Boolean {
        val failing = seen.refusals > 0 || seen.timeouts >= settings.timeoutsToAvoid
        return failing && seen.isRecent(now, settings.avoidPeriod)
    }
}
