/** Exchange of crashes and verdicts between the hosts of all failure domains, by datagrams. */
package burdockspread.forward.host

import burdockspread.forward.quarantine.CrashRecord
import burdockspread.forward.quarantine.PromptQuarantine
import burdockspread.forward.quarantine.VerdictId
import burdockspread.wire.forward.QuarantineNews
import kotlinx.collections.immutable.persistentSetOf
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Tells all hosts of what this host has decided or seen, at once and twice more, since datagrams
 * may be lost. While there are verdicts, each host also sends them to a random host once per
 * second, so that hosts that were cut off or started later learn of them. Hosts that know a part
 * of an accused prompt to be sound tell the accuser. Confined to the request loop.
 *
 * @param send sends a message to each of the addresses.
 */
internal class QuarantineExchange(
    private val quarantine: PromptQuarantine,
    private val random: Random,
    private val send: (QuarantineNews, Collection<InetSocketAddress>) -> Unit,
) {
    private val outbox = ArrayDeque<Notice>()
    private var gossipedAt: Instant = Instant.DISTANT_PAST

    /** The other hosts: those that are listed, and those that sent something. */
    private var hosts = persistentSetOf<InetSocketAddress>()

    /**
     * Adds the listed [addresses] of the other hosts. Hosts list each other rarely, so this host
     * sends an empty message to those that are new to it, which may not know it yet.
     */
    fun onHosts(addresses: Collection<InetSocketAddress>, now: Instant) {
        val unknown = addresses - hosts
        if (unknown.isEmpty()) return
        hosts = hosts.addAll(unknown)
        send(QuarantineCodec.encode(now = now), unknown)
    }

    /** Sends [crash] to all hosts. */
    fun report(crash: CrashRecord, now: Instant): Unit = report(Notice(crash, null, now), now)

    /** Sends the present state of the verdict [id] to all hosts. */
    fun report(id: VerdictId, now: Instant): Unit = report(Notice(null, id, now), now)

    /** Sends what is due. Called several times per second. */
    fun tick(now: Instant) {
        flush(now)
        if (now - gossipedAt < GOSSIP_INTERVAL) return
        gossipedAt = now
        quarantine.expire(now)
        val peer = hosts.randomOrNull(random) ?: return
        if (quarantine.isEmpty) return
        val verdicts = quarantine.verdicts.shuffled(random).take(MAX_VERDICTS)
        send(QuarantineCodec.encode(verdicts = verdicts, now = now), listOf(peer))
    }

    /** Applies [news], which came from [sender]. */
    fun onNews(news: QuarantineNews, sender: InetSocketAddress, now: Instant) {
        if (sender !in hosts && hosts.size < MAX_HOSTS) onNewHost(sender, now)
        val decoded = QuarantineCodec.decode(news, now)
        quarantine.onPeerSound(decoded.sound, now)
        val accused = HashSet<Long>()
        decoded.crashes.forEach { crash ->
            val isNew = quarantine.onPeerCrash(crash, now)
            if (isNew && mayAnswer()) accused += crash.parts
        }
        decoded.verdicts.forEach { verdict ->
            quarantine.onPeerVerdict(verdict, now)
            accused += verdict.suspects
        }
        val sound = quarantine.sound(accused, now)
        if (sound.isNotEmpty()) {
            send(
                QuarantineCodec.encode(sound = sound, now = now),
                listOf(sender),
            )
        }
    }

    private fun onNewHost(address: InetSocketAddress, now: Instant) {
        hosts = hosts.add(address)
        quarantine.verdicts.chunked(MAX_VERDICTS).forEach {
            send(QuarantineCodec.encode(verdicts = it, now = now), listOf(address))
        }
    }

    /** Limits the answers to a crash in a large fleet; most hosts know the same sound parts. */
    private fun mayAnswer(): Boolean = random.nextInt(hosts.size.coerceAtLeast(1)) < ANSWERS

    private fun report(notice: Notice, now: Instant) {
        outbox.addLast(notice)
        while (outbox.size > MAX_OUTBOX) outbox.removeFirst()
        flush(now)
    }

    private fun flush(now: Instant) {
        val due = outbox.filter { now >= it.dueAt }.take(MAX_PER_MESSAGE)
        if (due.isEmpty() || hosts.isEmpty()) return
        val ids = due.mapNotNull { it.verdict }.toSet()
        val verdicts = quarantine.verdicts.filter { it.id in ids }
        val crashes = due.mapNotNull { it.crash }
        send(QuarantineCodec.encode(crashes, verdicts, emptyMap(), now), hosts)
        due.forEach { it.onSent() }
        outbox.removeAll { it.isDone }
    }

    /** Something that all hosts have to learn; [dueAt] is when it is sent next. */
    private class Notice(val crash: CrashRecord?, val verdict: VerdictId?, at: Instant) {
        private var sent = 0
        var dueAt: Instant = at
            private set
        val isDone: Boolean get() = sent > REPEATS.size

        fun onSent() {
            dueAt += REPEATS.getOrElse(sent++) { ZERO }
        }
    }

    private companion object {
        /** Pauses before a notice is sent again; the last one covers a short loss of the link. */
        val REPEATS: List<Duration> = listOf(200.milliseconds, 800.milliseconds)
        val GOSSIP_INTERVAL = 1.seconds

        /** Expected number of hosts that answer a crash with what they know to be sound. */
        const val ANSWERS = 16

        /** Keeps datagrams below the size at which networks split them. */
        const val MAX_PER_MESSAGE = 4
        const val MAX_VERDICTS = 4
        const val MAX_OUTBOX = 64

        /** Twice the size of the largest fleet. */
        const val MAX_HOSTS = 1_040
    }
}
