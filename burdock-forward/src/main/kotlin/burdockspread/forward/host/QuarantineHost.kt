/** The quarantine of one host: its decisions in the log, at the other hosts and in the store. */
package burdockspread.forward.host

import burdockspread.forward.quarantine.CrashRecord
import burdockspread.forward.quarantine.PromptQuarantine
import burdockspread.forward.quarantine.QuarantineListener
import burdockspread.forward.quarantine.Verdict
import burdockspread.forward.quarantine.VerdictId
import burdockspread.id.HostId
import burdockspread.wire.forward.QuarantineNews
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Confined to the request loop.
 *
 * @param send sends a message to other hosts.
 * @param onChanged called when prompts that wait or run may have become refused.
 */
internal class QuarantineHost(
    private val self: HostId,
    private val log: QuarantineLog,
    private val archive: QuarantineArchive,
    random: Random,
    send: (QuarantineNews, Collection<InetSocketAddress>) -> Unit,
    private val onChanged: () -> Unit,
) : QuarantineListener {
    val quarantine: PromptQuarantine = PromptQuarantine(self, this)
    private val exchange = QuarantineExchange(quarantine, random, send)

    fun onHosts(addresses: Collection<InetSocketAddress>, now: Instant): Unit =
        exchange.onHosts(addresses, now)

    fun onNews(news: QuarantineNews, sender: InetSocketAddress, now: Instant): Unit =
        exchange.onNews(news, sender, now)

    fun tick(now: Instant): Unit = exchange.tick(now)

    /** Applies the verdicts that the store had kept. */
    fun onArchived(verdicts: List<Verdict>, now: Instant): Unit =
        verdicts.forEach { quarantine.onPeerVerdict(it, now) }

    /** Lifts the verdict that operators call [id]; returns false if it is not in force. */
    fun lift(id: String, now: Instant): Boolean {
        val verdict = quarantine.verdicts.firstOrNull { it.id.toString() == id } ?: return false
        return quarantine.lift(verdict.id, now).also { if (it) log.onLifted(verdict, "operator") }
    }

    /** Returns the verdicts for operators. */
    fun dump(now: Instant): JsonObject = buildJsonObject {
        quarantine.verdicts.forEach { verdict ->
            putJsonObject(verdict.id.toString()) {
                put("inForce", !verdict.isVoid)
                putJsonArray("parts") { verdict.parts.forEach { add(it.toHex()) } }
                putJsonArray("acquitted") { verdict.acquitted.forEach { add(it.toHex()) } }
                put("retrialInSeconds", (verdict.until - now).inWholeSeconds)
                put("endsInSeconds", (verdict.expiresAt - now).inWholeSeconds)
                putJsonArray("evidence") { verdict.evidence.forEach { add(it) } }
            }
        }
    }

    override fun onCrash(crash: CrashRecord, now: Instant) {
        log.onCrash(crash, now)
        exchange.report(crash, now)
    }

    override fun onVerdict(verdict: Verdict, now: Instant) {
        log.onVerdict(verdict, "this host")
        exchange.report(verdict.id, now)
        archive.save(verdict)
        onChanged()
    }

    override fun onPeerVerdict(verdict: Verdict, now: Instant) {
        if (verdict.isVoid) {
            log.onLifted(verdict, "host ${verdict.id.host} or its peers")
        } else {
            log.onVerdict(verdict, "host ${verdict.id.host}")
            onChanged()
        }
    }

    override fun onTrial(verdict: Verdict, now: Instant): Unit = log.onTrial(verdict)

    override fun onAcquitted(verdict: Verdict, now: Instant) {
        exchange.report(verdict.id, now)
        when {
            verdict.isVoid -> archive.remove(verdict.id)
            verdict.id.host == self -> archive.save(verdict)
        }
    }

    override fun onLifted(verdict: Verdict, now: Instant): Unit =
        log.onLifted(verdict, "a response to such a prompt went on")

    override fun onExplained(verdict: Verdict, now: Instant): Unit =
        log.onLifted(verdict, "another verdict explains its crashes")

    override fun onExpired(verdict: Verdict, now: Instant) {
        log.onExpired(verdict)
        archive.remove(verdict.id)
    }
}

/** Keeps verdicts beyond the loss of all hosts. */
internal interface QuarantineArchive {
    fun save(verdict: Verdict)

    fun remove(id: VerdictId)
}
