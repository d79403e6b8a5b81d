/** Messages about prompts that crash targets. */
package burdockspread.forward.host

import burdockspread.forward.quarantine.CrashRecord
import burdockspread.forward.quarantine.Verdict
import burdockspread.forward.quarantine.VerdictId
import burdockspread.id.HostId
import burdockspread.id.TargetId
import burdockspread.wire.forward.CrashNews
import burdockspread.wire.forward.QuarantineNews
import burdockspread.wire.forward.SoundPart
import burdockspread.wire.forward.VerdictNews
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.collections.immutable.toPersistentSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Converts instants into ages and back, since the clocks of hosts differ. */
internal object QuarantineCodec {
    /** What a host was told; malformed entries are left out. */
    class Decoded(
        val crashes: List<CrashRecord>,
        val verdicts: List<Verdict>,
        val sound: Map<Long, Instant>,
    )

    fun encode(
        crashes: List<CrashRecord> = emptyList(),
        verdicts: List<Verdict> = emptyList(),
        sound: Map<Long, Instant> = emptyMap(),
        now: Instant,
    ): QuarantineNews {
        val news = QuarantineNews.newBuilder()
        crashes.forEach { news.addCrashes(encode(it, now)) }
        verdicts.forEach { news.addVerdicts(encode(it, now)) }
        sound.forEach { (part, at) ->
            news.addSound(SoundPart.newBuilder().setPart(part).setAgoMillis(ago(at, now)))
        }
        return news.build()
    }

    fun decode(news: QuarantineNews, now: Instant): Decoded = Decoded(
        crashes = news.crashesList.take(MAX_ENTRIES).mapNotNull { decode(it, now) },
        verdicts = news.verdictsList.take(MAX_ENTRIES).mapNotNull { decode(it, now) },
        sound = news.soundList.filter { it.agoMillis in AGES }.take(MAX_PARTS)
            .associate { it.part to now - it.agoMillis.milliseconds },
    )

    private fun encode(crash: CrashRecord, now: Instant) = CrashNews.newBuilder()
        .setRequest(crash.request)
        .addAllParts(crash.parts)
        .setTarget(crash.target.value)
        .setStartedAtMillis(crash.startedAtMillis)
        .setHasBegun(crash.hasBegun)
        .setExposedAgoMillis(ago(crash.exposedAt, now))
        .setBrokenAgoMillis(ago(crash.brokenAt, now))

    private fun encode(verdict: Verdict, now: Instant) = VerdictNews.newBuilder()
        .setHost(verdict.id.host.value)
        .setNumber(verdict.id.number)
        .addAllParts(verdict.parts)
        .addAllAcquitted(verdict.acquitted)
        .setSuspectedAgoMillis(ago(verdict.suspectedSince, now))
        .setRemainingMillis((verdict.until - now).inWholeMilliseconds)
        .setTermMillis(verdict.term.inWholeMilliseconds)
        .addAllEvidence(verdict.evidence.takeLast(MAX_EVIDENCE))

    private fun decode(crash: CrashNews, now: Instant): CrashRecord? {
        val isValid = crash.partsCount in PARTS &&
            crash.exposedAgoMillis in AGES &&
            crash.brokenAgoMillis in 0..crash.exposedAgoMillis
        if (!isValid) return null
        return CrashRecord(
            request = crash.request,
            parts = crash.partsList.toImmutableSet(),
            target = TargetId(crash.target),
            startedAtMillis = crash.startedAtMillis,
            hasBegun = crash.hasBegun,
            exposedAt = now - crash.exposedAgoMillis.milliseconds,
            brokenAt = now - crash.brokenAgoMillis.milliseconds,
        )
    }

    private fun decode(verdict: VerdictNews, now: Instant): Verdict? {
        val isValid = verdict.partsCount in PARTS &&
            verdict.acquittedCount <= MAX_PARTS &&
            verdict.suspectedAgoMillis in AGES &&
            verdict.termMillis in AGES &&
            verdict.remainingMillis in -verdict.termMillis..verdict.termMillis
        if (!isValid) return null
        return Verdict(
            id = VerdictId(HostId(verdict.host), verdict.number),
            parts = verdict.partsList.toImmutableSet(),
            acquitted = verdict.acquittedList.toPersistentSet(),
            suspectedSince = now - verdict.suspectedAgoMillis.milliseconds,
            until = now + verdict.remainingMillis.milliseconds,
            term = verdict.termMillis.milliseconds,
            evidence = verdict.evidenceList.take(MAX_EVIDENCE).toImmutableList(),
        )
    }

    private fun ago(at: Instant, now: Instant): Long =
        (now - at).coerceIn(Duration.ZERO, MAX_AGE).inWholeMilliseconds

    private const val MAX_ENTRIES = 32
    private const val MAX_PARTS = 64
    private const val MAX_EVIDENCE = 4
    private val PARTS = 1..MAX_PARTS

    /** Longer than any term; greater ages are malformed. */
    private val MAX_AGE = 2.days
    private val AGES = 0..MAX_AGE.inWholeMilliseconds
}
