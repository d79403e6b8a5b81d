/** Verdicts in the platform's store. */
package burdockspread.forward.host

import burdockspread.forward.quarantine.Verdict
import burdockspread.forward.quarantine.VerdictId
import burdockspread.id.HostId
import burdockspread.json.parseBounded
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.StoredObject
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import burdockspread.time.TimeSource
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.apache.logging.log4j.LogManager
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Writes the verdicts of this host and reads those of all hosts once at the start; afterwards hosts
 * tell each other. A write that fails is tried again for a while: if all hosts are lost before it
 * succeeds, the crashes that led to the verdict are needed once more.
 */
internal class QuarantineStore(
    private val store: ObjectStore,
    private val clock: TimeSource,
    private val scope: CoroutineScope,
) : QuarantineArchive {
    private val writes = Mutex()

    override fun save(verdict: Verdict) {
        scope.launch { writes.withLock { attempt(verdict.id) { put(verdict) } } }
    }

    override fun remove(id: VerdictId) {
        scope.launch { writes.withLock { attempt(id) { delete(key(id)) } } }
    }

    /** Reads the verdicts that are in force; tries until the store answers. */
    suspend fun load(): List<Verdict> {
        while (true) {
            val listed = store.listCached(KIND)
            when (listed) {
                is ListResult.Listed -> return listed.objects.mapNotNull(::decode)
                is ListResult.Partial -> {
                    log.warn("some archived verdicts were not read: {}", listed.reason)
                    return listed.objects.mapNotNull(::decode)
                }
                is ListResult.Unavailable -> {
                    log.info("list of the archived verdicts failed, retrying: {}", listed)
                    delay(RETRY_DELAY)
                }
            }
        }
    }

    private suspend fun attempt(id: VerdictId, write: suspend () -> Boolean) {
        repeat(MAX_ATTEMPTS) {
            if (write()) return
            delay(RETRY_DELAY)
        }
        log.warn("verdict {} was not written: the store does not accept it", id)
    }

    private suspend fun put(verdict: Verdict): Boolean {
        val condition = when (val read = store.get(key(verdict.id))) {
            is ReadResult.Unavailable -> return false
            is ReadResult.Missing -> WriteCondition.Absent
            is ReadResult.Found -> WriteCondition.AtVersion(read.value.version)
        }
        val writeId = "${verdict.id}-${verdict.acquitted.size}-${verdict.term}"
        val text = encode(verdict).toString()
        return store.put(key(verdict.id), text, condition, writeId) is WriteResult.Written
    }

    private suspend fun delete(key: ObjectKey): Boolean = when (val read = store.get(key)) {
        is ReadResult.Unavailable -> false
        is ReadResult.Missing -> true
        is ReadResult.Found -> {
            val condition = WriteCondition.AtVersion(read.value.version)
            store.delete(key, condition) is WriteResult.Written
        }
    }

    private fun encode(verdict: Verdict): JsonObject = buildJsonObject {
        put("host", verdict.id.host.value)
        put("number", verdict.id.number)
        putJsonArray("parts") { addParts(verdict.parts) }
        putJsonArray("acquitted") { addParts(verdict.acquitted) }
        put("suspectedSinceMillis", verdict.suspectedSince.toEpochMilliseconds())
        put("untilMillis", verdict.until.toEpochMilliseconds())
        put("termMillis", verdict.term.inWholeMilliseconds)
        putJsonArray("evidence") { verdict.evidence.forEach { add(it) } }
    }

    private fun JsonArrayBuilder.addParts(parts: Set<Long>) = parts.forEach { add(it.toHex()) }

    private fun decode(stored: StoredObject): Verdict? = try {
        val value = Json.parseBounded(stored.value) as? JsonObject
        requireNotNull(value) { "not an object" }
        val verdict = Verdict(
            id = VerdictId(HostId(value.text("host")), value.number("number")),
            parts = value.parts("parts").toImmutableSet(),
            acquitted = value.parts("acquitted").toPersistentSet(),
            suspectedSince = Instant.fromEpochMilliseconds(value.number("suspectedSinceMillis")),
            until = Instant.fromEpochMilliseconds(value.number("untilMillis")),
            term = value.number("termMillis").milliseconds,
            evidence = value.texts("evidence").toImmutableList(),
        )
        require(verdict.parts.isNotEmpty()) { "no parts" }
        require(stored.key == key(verdict.id)) { "the name of another verdict" }
        verdict.takeIf { clock.now() < it.expiresAt }
    } catch (e: SerializationException) {
        ignore(stored, e)
    } catch (e: IllegalArgumentException) {
        ignore(stored, e)
    }

    private fun ignore(stored: StoredObject, cause: Exception): Verdict? {
        log.warn("ignoring {}, which is no verdict: {}", stored.key.name, cause.message)
        return null
    }

    private fun JsonObject.text(name: String): String =
        requireNotNull(this[name]) { "$name is missing" }.jsonPrimitive.content

    private fun JsonObject.number(name: String): Long =
        requireNotNull(this[name]) { "$name is missing" }.jsonPrimitive.long

    private fun JsonObject.texts(name: String): List<String> =
        (this[name] as? JsonArray).orEmpty().map { it.jsonPrimitive.content }

    private fun JsonObject.parts(name: String): List<Long> =
        texts(name).map { it.toULong(HEXADECIMAL).toLong() }

    private fun key(id: VerdictId) = ObjectKey(KIND, id.toString())

    private companion object {
        const val KIND = "forward-quarantine"

        /** Attempts of a write, over about the time of a usual outage of the store. */
        const val MAX_ATTEMPTS = 60
        val RETRY_DELAY: Duration = 1.seconds
        val log = LogManager.getLogger(QuarantineStore::class.java)
    }
}
