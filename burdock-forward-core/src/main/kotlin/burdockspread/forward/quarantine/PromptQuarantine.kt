/** Refuses prompts that crash targets. */
package burdockspread.forward.quarantine

import burdockspread.id.HostId
import burdockspread.id.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Finds the parts of prompts that crash targets, from the crashes and from the responses that went
 * on, on this host and on others. Not thread-safe and does no I/O.
 *
 * When a target crashes, all that it ran breaks, so a crash alone proves nothing. A part is at
 * fault if responses break as soon as they begin, on one target after the other, with that part in
 * common, and none with it has gone on. Prompts that share their other parts are not refused.
 */
public class PromptQuarantine(
    private val self: HostId,
    private val listener: QuarantineListener = QuarantineListener.NONE,
) {
    /** When a response with a part last went on; the least recently confirmed part comes first. */
    private val soundAt = LinkedHashMap<Long, Instant>()
    private val crashes = ArrayDeque<CrashRecord>()

    /** The [crashes] that this host saw. */
    private val ownCrashes = LinkedHashSet<CrashRecord>()
    private val records = LinkedHashMap<VerdictId, Verdict>()

    /** When the trial of a verdict of this host began. */
    private val trials = HashMap<VerdictId, Instant>()
    private var lastNumber = 0L

    /** The verdicts, void ones included. */
    public val verdicts: ImmutableList<Verdict> get() = records.values.toImmutableList()

    /** Whether no verdict is known, void ones included. */
    public val isEmpty: Boolean get() = records.isEmpty()

    /** Returns the verdict that refuses a prompt with [parts], or null. */
    public fun check(parts: Set<Long>, now: Instant): Verdict? {
        if (records.isEmpty() || parts.isEmpty()) return null
        // All hosts find the same one, so that only one of them tries the targets again.
        return records.values.filter { it.isInForce(now) && it.applies(parts) }
            .minWithOrNull(compareBy({ it.id.host.value }, { it.id.number }))
    }

    /**
     * Returns the verdict that refuses a new request with [parts], or null. When the term of a
     * verdict has passed, its deciding host admits a single request as a trial.
     */
    public fun admit(parts: Set<Long>, now: Instant): Verdict? {
        val verdict = check(parts, now) ?: return null
        if (verdict.id.host != self || now < verdict.until) return verdict
        if (isOnTrial(verdict, now)) return verdict
        trials[verdict.id] = now
        listener.onTrial(verdict, now)
        return null
    }

    /** Returns the verdict that refuses to send a request that was admitted, or null on trial. */
    public fun checkAdmitted(parts: Set<Long>, now: Instant): Verdict? =
        check(parts, now)?.takeUnless { isOnTrial(it, now) }

    /** Returns whether a request that was admitted may still be sent, for example as a trial. */
    public fun mayContinue(parts: Set<Long>, now: Instant): Boolean =
        checkAdmitted(parts, now) == null

    private fun isOnTrial(verdict: Verdict, now: Instant): Boolean =
        trials[verdict.id]?.let { now - it < TRIAL_TIME } == true

    /** Records a crash that this host saw. Returns a verdict that it leads to, if any. */
    public fun onCrash(crash: CrashRecord, now: Instant): Verdict? {
        if (!add(crash, now)) return null
        ownCrashes += crash
        listener.onCrash(crash, now)
        val known = check(crash.parts, now)
        if (known == null) return convict(crash, now)
        liftExplained(now)
        return extend(known, crash, now)
    }

    /**
     * Records a crash that another host saw. That host decides on it, and so does this one if it
     * has seen a crash of such a prompt itself, since the two reports may have crossed. Returns
     * whether the crash was unknown.
     */
    public fun onPeerCrash(crash: CrashRecord, now: Instant): Boolean {
        val isNew = add(crash, now)
        if (!isNew || check(crash.parts, now) != null) return isNew
        if (ownCrashes.any { own -> own.parts.any { it in crash.parts } }) convict(crash, now)
        return isNew
    }

    /** Returns whether the incarnation of a target is known to have stopped. */
    public fun hasStopped(target: TargetId, startedAtMillis: Long): Boolean =
        crashes.any { it.target == target && it.startedAtMillis == startedAtMillis }

    /** Records that a response to a prompt with [parts] went on. */
    public fun onWentOn(parts: Set<Long>, now: Instant) {
        parts.forEach { recordSound(it, now) }
        acquit(parts, now).forEach { listener.onAcquitted(it, now) }
    }

    /** Records that another host has seen responses with these parts go on. */
    public fun onPeerSound(sound: Map<Long, Instant>, now: Instant) {
        sound.forEach { (part, at) -> recordSound(part, at) }
        val changed = acquit(sound.keys, now)
        changed.filter { it.id.host == self }.forEach { listener.onAcquitted(it, now) }
    }

    /** Merges a copy of a verdict, of another host or of the store. */
    public fun onPeerVerdict(verdict: Verdict, now: Instant) {
        if (now >= verdict.expiresAt) return
        val before = records[verdict.id]
        val merged = before?.merge(verdict) ?: verdict
        val after = merged.copy(acquitted = merged.acquitted.addAll(soundParts(merged)))
        if (after == before) return
        records[verdict.id] = after
        dropOldest()
        if (before == null || before.isVoid != after.isVoid) listener.onPeerVerdict(after, now)
    }

    /** Voids the verdict [id] on behalf of an operator; returns false if it is not in force. */
    public fun lift(id: VerdictId, now: Instant): Boolean {
        val verdict = records[id]?.takeUnless { it.isVoid } ?: return false
        verdict.suspects.forEach { recordSound(it, now) }
        val lifted = verdict.lifted()
        records[id] = lifted
        listener.onAcquitted(lifted, now)
        return true
    }

    /** Returns when responses with those of [parts] that are known to be sound last went on. */
    public fun sound(parts: Set<Long>, now: Instant): Map<Long, Instant> =
        parts.mapNotNull { part -> soundAt[part]?.let { part to it } }
            .filter { now - it.second < SOUND_TIME }.toMap()

    /** Removes what is out of date. Called about once per second. */
    public fun expire(now: Instant) {
        crashes.removeAll { now - it.brokenAt >= CRASH_TIME }
        ownCrashes.removeAll { now - it.brokenAt >= CRASH_TIME }
        val ended = records.values.filter { now >= it.expiresAt }
        ended.forEach {
            records -= it.id
            trials -= it.id
            if (!it.isVoid) listener.onExpired(it, now)
        }
    }

    private fun add(crash: CrashRecord, now: Instant): Boolean {
        if (crash.parts.isEmpty() || crashes.any { it.isSameAttempt(crash) }) return false
        crashes.addLast(crash)
        while (crashes.size > MAX_CRASHES) ownCrashes -= crashes.removeFirst()
        return now - crash.brokenAt < CRASH_TIME
    }

    /** Reaches the verdicts that [crash] supports, with the others so far; returns one of them. */
    private fun convict(crash: CrashRecord, now: Instant): Verdict? {
        val verdicts = generateSequence { decide(crash, now) }.take(MAX_DECISIONS).toList()
        liftExplained(now)
        return verdicts.firstOrNull()
    }

    /**
     * Decides on the parts that explain most of the crashes that no verdict explains yet. The other
     * requests that the target of [crash] ran are victims and would be accused with each crash.
     */
    private fun decide(crash: CrashRecord, now: Instant): Verdict? {
        val stopped = stoppedTargets(now)
        val suspicions = crashes.filter { it.isSameIncarnation(crash) }
            .flatMap { it.parts }.distinct()
            .mapNotNull { suspicion(it, stopped, now) }
            .sortedWith(BY_WEIGHT)
        val suspicion = suspicions.firstOrNull() ?: return null
        // Of two equally suspicious prompts that were on the same targets, one is a victim.
        val rival = suspicions.firstOrNull { it.parts.none(suspicion.parts::contains) }
        val isTied = rival != null && rival.weight == suspicion.weight
        if (isTied && suspicion.crashes.size < MAX_TIED_CRASHES) return null
        val verdict = Verdict(
            id = VerdictId(self, nextNumber(now)),
            parts = suspicion.parts.toImmutableSet(),
            acquitted = persistentSetOf(),
            suspectedSince = suspicion.since,
            until = now + FIRST_TERM,
            term = FIRST_TERM,
            evidence = suspicion.crashes.map { "${it.request} at ${it.target}" }
                .takeLast(MAX_EVIDENCE).toImmutableList(),
        )
        records[verdict.id] = verdict
        dropOldest()
        listener.onVerdict(verdict, now)
        return verdict
    }

    /**
     * Lifts verdicts of this host on victims: another verdict explains each of their crashes, and
     * further ones.
     */
    private fun liftExplained(now: Instant) {
        val stopped = stoppedTargets(now)
        if (stopped.size < 2) return
        stopped.filterKeys { it.id.host == self }.forEach { (verdict, own) ->
            val isExplained = stopped.any { (other, theirs) ->
                other !== verdict && theirs.size > own.size && theirs.containsAll(own)
            }
            if (isExplained) {
                val lifted = verdict.lifted()
                records[verdict.id] = lifted
                listener.onExplained(lifted, now)
                listener.onAcquitted(lifted, now)
            }
        }
    }

    /** Returns the verdicts in force and the targets that stopped while they ran such a prompt. */
    private fun stoppedTargets(now: Instant): Map<Verdict, Set<Incarnation>> =
        records.values.filter { it.isInForce(now) }.associateWith { verdict ->
            crashes.filter { verdict.applies(it.parts) }.map { Incarnation(it) }.toSet()
        }

    private data class Incarnation(val target: TargetId, val startedAtMillis: Long) {
        constructor(crash: CrashRecord) : this(crash.target, crash.startedAtMillis)
    }

    /** Numbers of an earlier process are lower, unless its clock was set back meanwhile. */
    private fun nextNumber(now: Instant): Long {
        lastNumber = maxOf(lastNumber + 1, now.toEpochMilliseconds())
        return lastNumber
    }

    /** Parts that all of [crashes] have in common and that are not known to be sound. */
    private class Suspicion(
        val parts: Set<Long>,
        val crashes: List<CrashRecord>,
        val since: Instant,
    ) {
        /** Crashes, of which those within a response point to its prompt the most. */
        val weight: Int get() = crashes.size + crashes.count { it.hasBegun }
    }

    /** Returns whether [part], alone or with others, explains crashes and is not refused yet. */
    private fun suspicion(
        part: Long,
        stopped: Map<Verdict, Set<Incarnation>>,
        now: Instant,
    ): Suspicion? {
        val wentOnAt = soundAt[part]?.takeIf { now - it < SOUND_TIME }
        val explained = stopped.filterKeys { part !in it.suspects }.values.flatten().toSet()
        val related = independent(
            crashes.filter { part in it.parts && Incarnation(it) !in explained }
                .filter { wentOnAt == null || it.exposedAt > wentOnAt },
        )
        val isAccused = if (wentOnAt == null) {
            CrashWindow.isConspicuous(related)
        } else {
            related.size >= MIN_CRASHES_OF_SOUND && now - wentOnAt >= MIN_SILENCE_OF_SOUND
        }
        if (!isAccused) return null
        val since = if (wentOnAt == null) now - SOUND_TIME else related.first().exposedAt
        val common = related.map { it.parts.toSet() }.reduce { left, right -> left intersect right }
        val suspects = common.filter { (soundAt[it] ?: Instant.DISTANT_PAST) < since }.toSet()
        if (suspects.isEmpty() || check(suspects, now) != null) return null
        return Suspicion(suspects, related, since)
    }

    /** Extends the verdict of this host whose trial has failed. */
    private fun extend(verdict: Verdict, crash: CrashRecord, now: Instant): Verdict? {
        if (trials.remove(verdict.id) == null) return null
        val term = (verdict.term * TERM_GROWTH).coerceAtMost(MAX_TERM)
        val evidence = (verdict.evidence + "${crash.request} at ${crash.target}")
            .takeLast(MAX_EVIDENCE).toImmutableList()
        val extended = verdict.copy(until = now + term, term = term, evidence = evidence)
        records[verdict.id] = extended
        listener.onVerdict(extended, now)
        return extended
    }

    private fun acquit(parts: Set<Long>, now: Instant): List<Verdict> {
        if (records.isEmpty()) return emptyList()
        val affected = records.values.filter { verdict -> verdict.suspects.any { it in parts } }
        return affected.mapNotNull { verdict ->
            val sound = soundParts(verdict)
            if (verdict.acquitted.containsAll(sound)) return@mapNotNull null
            val narrowed = verdict.copy(acquitted = verdict.acquitted.addAll(sound))
            records[verdict.id] = narrowed
            if (narrowed.isVoid) listener.onLifted(narrowed, now)
            narrowed
        }
    }

    private fun soundParts(verdict: Verdict): List<Long> = verdict.suspects.filter { part ->
        soundAt[part]?.let { it >= verdict.suspectedSince } == true
    }

    private fun recordSound(part: Long, at: Instant) {
        val before = soundAt[part]
        if (before != null && at - before < SOUND_RESOLUTION) return
        soundAt.remove(part)
        soundAt[part] = at
        if (soundAt.size > MAX_SOUND_PARTS) soundAt.remove(soundAt.keys.first())
    }

    private fun dropOldest() {
        while (records.size > MAX_VERDICTS) {
            val dropped = records.values.firstOrNull { it.isVoid } ?: records.values.first()
            records -= dropped.id
            trials -= dropped.id
        }
    }

    private companion object {
        val BY_WEIGHT: Comparator<Suspicion> =
            compareByDescending<Suspicion> { it.weight }.thenByDescending { it.parts.size }

        /** Crashes that convict a part although responses with it have gone on before. */
        const val MIN_CRASHES_OF_SOUND = 6

        /** Time without a response that went on, for a part with which others went on before. */
        val MIN_SILENCE_OF_SOUND = 15.seconds

        /** Time for which a response that went on speaks for its parts. */
        val SOUND_TIME = 10.minutes

        /** Time for which a crash speaks against its parts. */
        val CRASH_TIME = 5.minutes

        /** A later response of the same part is recorded after this time only. */
        val SOUND_RESOLUTION = 1.seconds

        /** Time within which the request of a trial has begun or failed. */
        val TRIAL_TIME = 60.seconds

        /**
         * A victim that was taken for the cause waits for the first trial at most. Since terms grow
         * eightfold, a prompt at fault ends about six more targets in a day.
         */
        val FIRST_TERM: Duration = 30.seconds
        const val TERM_GROWTH = 8
        val MAX_TERM: Duration = 24.hours

        const val MAX_EVIDENCE = 8

        /** Crashes from which on equally suspicious prompts are both refused. */
        const val MAX_TIED_CRASHES = 4

        /** Verdicts reached at once, so that an error of the search cannot go on without end. */
        const val MAX_DECISIONS = 4

        /** Bounds of memory, whatever callers send: about half a megabyte together. */
        const val MAX_SOUND_PARTS = 4_096
        const val MAX_CRASHES = 64
        const val MAX_VERDICTS = 64
    }
}

/** Receives the decisions of a [PromptQuarantine], for logs, other hosts and the store. */
public interface QuarantineListener {
    /** Called when this host has seen a crash that accuses a prompt. */
    public fun onCrash(crash: CrashRecord, now: Instant) {}

    /** Called when this host has reached or extended a verdict. */
    public fun onVerdict(verdict: Verdict, now: Instant) {}

    /** Called when a verdict of another host came into force here, or is void. */
    public fun onPeerVerdict(verdict: Verdict, now: Instant) {}

    /** Called when a request is admitted although [verdict] refuses it, as a trial. */
    public fun onTrial(verdict: Verdict, now: Instant) {}

    /** Called when this host has acquitted parts, which other hosts do not know yet. */
    public fun onAcquitted(verdict: Verdict, now: Instant) {}

    /** Called when the last part of [verdict] was acquitted, since a response went on. */
    public fun onLifted(verdict: Verdict, now: Instant) {}

    /** Called when [verdict] was lifted since another one explains its crashes and more. */
    public fun onExplained(verdict: Verdict, now: Instant) {}

    /** Called when a verdict has ended without a decision. */
    public fun onExpired(verdict: Verdict, now: Instant) {}

    public companion object {
        /** A listener that does nothing. */
        public val NONE: QuarantineListener = object : QuarantineListener {}
    }
}
