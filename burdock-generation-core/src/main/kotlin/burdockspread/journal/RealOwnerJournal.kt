/** The state machine that copies a journal and releases its tokens. */
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
    private var copying = lineage.segments.size > 1
    private var finish: FinishReason? = null
    private var finishReleased = false
    private var handOverBy: Instant? = null

    override fun handle(input: JournalInput, now: Instant): List<JournalEffect> {
        if (isSuperseded) return emptyList()
        val awake = nextDeadline()?.let { now - it <= PROCESS_PAUSE } ?: true
        if (!awake) askAgain(now)
        when (input) {
            is JournalInput.TokensAppended -> Unit
            is JournalInput.Finished -> finish = input.reason
            is JournalInput.HoldersChanged -> changeHolders(input.hosts)
            is JournalInput.HolderAnswered -> answered(input.holder, input.outcome, now)
            is JournalInput.HolderUnreachable -> if (awake) unreachable(input.holder, now)
            is JournalInput.Tick -> tick(now)
            is JournalInput.HandOver -> handOver(now)
        }
        if (!isSuperseded) proceed(now)
        return effects.toList().also { effects.clear() }
    }

    override fun nextDeadline(): Instant? {
        if (isSuperseded) return null
        if (!copying) return (createdAt + policy.copyAfter).takeIf { finish == null }
        var earliest = handOverBy
        for (holder in holders) {
            val due = deadline(holder) ?: continue
            earliest = earliest?.let { minOf(it, due) } ?: due
        }
        return earliest
    }

    private fun deadline(holder: HolderState): Instant? =
        holder.sentAt?.let { it + policy.ackTimeout }
            ?: holder.notBefore.takeIf { lacks(holder) }

    private fun proceed(now: Instant) {
        startCopying(now)
        if (copying) holders.forEach { send(it, now) }
        isUnreplicated = copying && holders.none { it.usable }
        release()
        reportHandOver(now)
    }

    private fun startCopying(now: Instant) {
        if (copying || finish != null) return
        val old = now - createdAt >= policy.copyAfter
        val long = log.size >= policy.copyAfterTokens
        copying = old || long
    }

    private fun send(holder: HolderState, now: Instant) {
        if (holder.sentAt != null || now < holder.notBefore || !lacks(holder)) return
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
        holder.notBefore = now + policy.interval
        effects += JournalEffect.Send(holder.host, batch)
    }

    private fun lacks(holder: HolderState): Boolean =
        holder.acked < log.size || finish != null && !holder.finishAcked

    private fun answered(host: HostId, outcome: AppendOutcome, now: Instant) {
        val holder = holder(host) ?: return
        holder.sentAt = null
        when (outcome) {
            is AppendOutcome.Appended -> {
                holder.acked = outcome.length.coerceAtMost(log.size)
                holder.finishAcked = outcome.finished
                holder.usable = true
            }
            is AppendOutcome.Gap -> {
                holder.acked = outcome.length.coerceAtMost(log.size)
                holder.notBefore = now
            }
            is AppendOutcome.NoRoom -> unusable(holder, now)
            is AppendOutcome.Superseded -> supersede(outcome.by)
        }
    }

    private fun supersede(by: BranchId) {
        isSuperseded = true
        effects += JournalEffect.Superseded(by)
    }

    private fun unusable(holder: HolderState, now: Instant) {
        holder.sentAt = null
        holder.usable = false
        holder.notBefore = now + policy.retryInterval
    }

    /**
     * After a pause of this process, silence says nothing about the holders: they are asked again,
     * and nothing is released before they had their time to say that another host has taken over.
     */
    private fun askAgain(now: Instant) {
        holders.filter { it.sentAt != null }.forEach {
            it.sentAt = null
            it.notBefore = now
        }
    }

    private fun unreachable(host: HostId, now: Instant) {
        holder(host)?.let { unusable(it, now) }
    }

    private fun tick(now: Instant) {
        val silent = holders.filter { holder ->
            holder.sentAt?.let { now >= it + policy.ackTimeout } == true
        }
        silent.forEach { unusable(it, now) }
    }

    private fun changeHolders(hosts: List<HostId>) {
        val known = holders.associateBy { it.host }
        holders = hosts.map { known[it] ?: HolderState(it) }
    }

    private fun release() {
        val covered =
            if (copying && !isUnreplicated) holders.maxOfOrNull { it.acked } ?: 0 else log.size
        val until = maxOf(released, covered)
        val finishCovered = !copying || isUnreplicated || holders.any { it.finishAcked }
        val end = finish.takeIf { finishCovered && until == log.size }
        if (until == released && (end == null || finishReleased)) return
        released = until
        finishReleased = end != null
        effects += JournalEffect.Release(until, end)
    }

    private fun handOver(now: Instant) {
        copying = true
        handOverBy = now + policy.ackTimeout * HAND_OVER_TRIES
    }

    private fun reportHandOver(now: Instant) {
        val limit = handOverBy ?: return
        val whole = holders.firstOrNull { it.usable && it.acked in 1..log.size && !lacks(it) }
        when {
            whole != null -> effects += JournalEffect.HandedOver(whole.host)
            now >= limit || log.size == 0 -> effects += JournalEffect.HandOverFailed
            else -> return
        }
        handOverBy = null
    }

    private fun holder(host: HostId): HolderState? = holders.firstOrNull { it.host == host }

    private companion object {
        const val HAND_OVER_TRIES = 3

        /** Lateness of a tick from which the process itself was paused. */
        val PROCESS_PAUSE = 1.seconds
    }
}
