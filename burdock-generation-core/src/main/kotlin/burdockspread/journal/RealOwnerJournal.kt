/** State machine that copies a journal and releases its tokens. */
package burdockspread.journal

import burdockspread.generation.FinishReason
import burdockspread.generation.TokenLog
import burdockspread.id.HostId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class RealOwnerJournal(
    private val key: CopyKey,
    override val lineage: Lineage,
    private val log: TokenLog,
    private val body: String,
    private val createdAt: Instant,
    private val policy: CopyPolicy,
) : OwnerJournal {
    @Volatile
    override var released: Int = log.size
        private set
    override var isUnreplicated: Boolean = false
        private set
    override var isSuperseded: Boolean = false
        private set

    private var holders = emptyList<HolderState>()
    private val effects = ArrayList<JournalEffect>()
    private var isCopying = lineage.segments.size > 1
    private var finish: FinishReason? = null
    private var isFinishReleased = false
    private var handOverDeadline: Instant? = null

    override fun handle(input: JournalInput, now: Instant): List<JournalEffect> {
        if (isSuperseded) return emptyList()
        val isOnTime = nextDeadline()?.let { now - it <= PROCESS_PAUSE_THRESHOLD } ?: true
        if (!isOnTime) resendUnanswered(now)
        when (input) {
            is JournalInput.TokensAppended -> Unit
            is JournalInput.Finished -> finish = input.reason
            is JournalInput.HoldersChanged -> changeHolders(input.hosts)
            is JournalInput.HolderAnswered -> onAnswer(input.holder, input.outcome, now)
            is JournalInput.HolderUnreachable -> if (isOnTime) onUnreachable(input.holder, now)
            is JournalInput.Tick -> onTick(now)
            is JournalInput.HandOver -> handOver(now)
        }
        if (!isSuperseded) advance(now)
        return effects.toList().also { effects.clear() }
    }

    override fun nextDeadline(): Instant? {
        if (isSuperseded) return null
        if (!isCopying) return (createdAt + policy.copyAfter).takeIf { finish == null }
        var earliest = handOverDeadline
        for (holder in holders) {
            val due = deadline(holder) ?: continue
            earliest = earliest?.let { minOf(it, due) } ?: due
        }
        return earliest
    }

    private fun deadline(holder: HolderState): Instant? =
        holder.sentAt?.let { it + policy.ackTimeout }
            ?: holder.nextSendAt.takeIf { isBehind(holder) }

    private fun advance(now: Instant) {
        startCopying(now)
        if (isCopying) holders.forEach { send(it, now) }
        isUnreplicated = isCopying && holders.none { it.isUsable }
        release()
        reportHandOver(now)
    }

    private fun startCopying(now: Instant) {
        if (isCopying || finish != null) return
        val isOldEnough = now - createdAt >= policy.copyAfter
        val isLongEnough = log.size >= policy.copyAfterTokens
        isCopying = isOldEnough || isLongEnough
    }

    private fun send(holder: HolderState, now: Instant) {
        if (holder.sentAt != null || now < holder.nextSendAt || !isBehind(holder)) return
        val from = holder.acked
        val batch = JournalBatch(
            key = key,
            lineage = lineage,
            offset = from,
            tokens = log.slice(from),
            finish = finish,
            body = body.takeIf { from == 0 },
            createdAt = createdAt,
        )
        holder.sentAt = now
        holder.nextSendAt = now + policy.interval
        effects += JournalEffect.Send(holder.host, batch)
    }

    private fun isBehind(holder: HolderState): Boolean =
        holder.acked < log.size || finish != null && !holder.isFinishAcked

    private fun onAnswer(host: HostId, outcome: AppendOutcome, now: Instant) {
        val holder = holder(host) ?: return
        holder.sentAt = null
        when (outcome) {
            is AppendOutcome.Appended -> {
                holder.acked = outcome.length.coerceAtMost(log.size)
                holder.isFinishAcked = outcome.finished
                holder.isUsable = true
            }
            is AppendOutcome.Gap -> {
                holder.acked = outcome.length.coerceAtMost(log.size)
                holder.nextSendAt = now
            }
            is AppendOutcome.NoRoom -> markUnusable(holder, now)
            is AppendOutcome.Superseded -> onSuperseded(outcome.by)
        }
    }

    private fun onSuperseded(by: BranchId) {
        isSuperseded = true
        effects += JournalEffect.Superseded(by)
    }

    private fun markUnusable(holder: HolderState, now: Instant) {
        holder.sentAt = null
        holder.isUsable = false
        holder.nextSendAt = now + policy.retryInterval
    }

    /**
     * After a pause of this process, a missing answer says nothing about the holders: batches are
     * sent again, and nothing is released before the holders had time to report that another host
     * has taken over.
     */
    private fun resendUnanswered(now: Instant) {
        holders.filter { it.sentAt != null }.forEach {
            it.sentAt = null
            it.nextSendAt = now
        }
    }

    private fun onUnreachable(host: HostId, now: Instant) {
        holder(host)?.let { markUnusable(it, now) }
    }

    private fun onTick(now: Instant) {
        val timedOut = holders.filter { holder ->
            holder.sentAt?.let { now >= it + policy.ackTimeout } == true
        }
        timedOut.forEach { markUnusable(it, now) }
    }

    private fun changeHolders(hosts: List<HostId>) {
        val knownHolders = holders.associateBy { it.host }
        holders = hosts.map { knownHolders[it] ?: HolderState(it) }
    }

    private fun release() {
        val replicatedTokens =
            if (isCopying && !isUnreplicated) holders.maxOfOrNull { it.acked } ?: 0 else log.size
        val until = maxOf(released, replicatedTokens)
        val isFinishReplicated = !isCopying || isUnreplicated || holders.any { it.isFinishAcked }
        val end = finish.takeIf { isFinishReplicated && until == log.size }
        if (until == released && (end == null || isFinishReleased)) return
        released = until
        isFinishReleased = end != null
        effects += JournalEffect.Release(until, end)
    }

    private fun handOver(now: Instant) {
        isCopying = true
        handOverDeadline = now + policy.ackTimeout * HAND_OVER_ACK_TIMEOUTS
    }

    private fun reportHandOver(now: Instant) {
        val limit = handOverDeadline ?: return
        val upToDateHolder = holders
            .firstOrNull { it.isUsable && it.acked in 1..log.size && !isBehind(it) }
        when {
            upToDateHolder != null -> effects += JournalEffect.HandedOver(upToDateHolder.host)
            now >= limit || log.size == 0 -> effects += JournalEffect.HandOverFailed
            else -> return
        }
        handOverDeadline = null
    }

    private fun holder(host: HostId): HolderState? = holders.firstOrNull { it.host == host }

    private companion object {
        const val HAND_OVER_ACK_TIMEOUTS = 3

        /** Delay of a tick above which the process itself is taken to have been paused. */
        val PROCESS_PAUSE_THRESHOLD = 1.seconds
    }
}
