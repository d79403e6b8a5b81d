package burdockspread.forward.news

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.wire.forward.CatalogDelta
import burdockspread.wire.forward.CatalogPart
import burdockspread.wire.forward.NewsReply
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertTrue
import kotlin.time.Instant

/** Differences between configurations on their way between hosts. */
class CatalogDeltaTest {
    private val now = Instant.fromEpochSeconds(1_000)

    @Test
    fun `a difference leads from one text to the other`() {
        val random = Random(63)
        repeat(500) {
            val from = text(random)
            val to = if (random.nextBoolean()) edit(from, random) else text(random)
            val delta = CatalogDelta.parseFrom(catalogDelta(from, to).toByteArray())
            assertEquals(to, delta.applyTo(from, 10_000))
        }
    }

    @Test
    fun `a difference that does not fit the text is rejected`() {
        val parts = listOf(-1 to 2, 0 to -1, 0 to 5, 4 to 1, 2 to Int.MAX_VALUE)
        parts.forEach { (start, length) ->
            val part = CatalogPart.newBuilder().setCopiedFrom(start).setCopiedLength(length)
            val delta = CatalogDelta.newBuilder().addParts(part).build()
            assertFails("$start, $length") { delta.applyTo("four", 100) }
        }
        val whole = CatalogPart.newBuilder().setCopiedLength(4).setAdded("xyz")
        val delta = CatalogDelta.newBuilder().addParts(whole).addParts(whole).build()
        assertFails { delta.applyTo("four", 13) }
    }

    // Guards against a relay whose followers draw the whole configuration for each changed route.
    @Test
    fun `a changed route takes a few hundred bytes to each host that knows the rest`() {
        val relay = host(LARGE)
        val follower = host(LARGE)
        relay.put(LARGE.replaceFirst("3", "4").replace("\"r77\"", "\"changed\""), 9)
        val request = follower.request("h2", "10.0.0.2:70")
        val reply = relay.reply(request, now, emptyList())
        assertTrue(reply.serializedSize < 600, "${reply.serializedSize} bytes")
        follower.onReply("peer", request, reply, now)
        assertEquals(4, follower.view.catalog?.version)
        assertEquals(9, follower.knownVersion("settings").value)
    }

    // Guards against hosts that act on a text that no operator has written.
    @Test
    fun `a difference that leads to another text is ignored and the whole asked for`() {
        val relay = host(LARGE)
        val follower = host(LARGE)
        relay.put(LARGE.replaceFirst("3", "4"), 9)
        val request = follower.request("h2", "10.0.0.2:70")
        val sound = relay.reply(request, now, emptyList())
        val broken = listOf(
            sound.toBuilder().setCatalogDigest(ByteString.copyFromUtf8("other")),
            sound.toBuilder().clearCatalogDigest(),
            sound.toBuilder().setCatalogDelta(sound.catalogDelta.substring(20)),
        )
        broken.forEach {
            follower.onReply("peer", request, it.build(), now)
            assertEquals(3, follower.view.catalog?.version)
        }
        val next = follower.request("h2", "10.0.0.2:70")
        assertTrue(next.catalogDigest.isEmpty)
        val whole = relay.reply(next, now, emptyList())
        assertTrue(whole.catalogDelta.isEmpty)
        follower.onReply("peer", next, whole, now)
        assertEquals(4, follower.view.catalog?.version)
    }

    @Test
    fun `a difference from a configuration that was replaced meanwhile is not applied`() {
        val relay = host(LARGE)
        val follower = host(LARGE)
        relay.put(LARGE.replaceFirst("3", "5"), 11)
        val request = follower.request("h2", "10.0.0.2:70")
        val reply: NewsReply = relay.reply(request, now, emptyList())
        follower.put(LARGE.replaceFirst("3", "4"), 9)
        follower.onReply("peer", request, reply, now)
        assertEquals(4, follower.view.catalog?.version)
        val next = follower.request("h2", "10.0.0.2:70")
        assertTrue(!next.catalogDigest.isEmpty)
        follower.onReply("peer", next, relay.reply(next, now, emptyList()), now)
        assertEquals(5, follower.view.catalog?.version)
    }

    // Guards against a watch that begins, again and again, from a revision that the store has lost.
    @Test
    fun `a list as of an earlier version corrects what is known`() {
        val host = host(LARGE)
        assertEquals(5, host.knownVersion("settings").value)
        host.put(LARGE, 4)
        assertEquals(4, host.knownVersion("settings").value)
    }

    private fun host(text: String) = HostViewUpdater(TextDeployment, { now }).apply { put(text, 5) }

    private fun HostViewUpdater.put(text: String, version: Long) {
        val settings = StoredObject(ObjectKey("settings", "newest"), version, "", text)
        onListed("settings", ListResult.Listed(persistentListOf(settings), version))
        onListed("targets", ListResult.Listed(persistentListOf(), version))
    }

    private fun text(random: Random): String = List(random.nextInt(12)) {
        // Few different parts, of lengths around that from which on they are copied.
        "{\"a\":\"${"\u0161x".repeat(random.nextInt(8))}\"${"}".repeat(random.nextInt(3))}"
    }.joinToString(",")

    private fun edit(text: String, random: Random): String {
        val start = random.nextInt(text.length + 1)
        val end = random.nextInt(start, text.length + 1)
        return text.take(start) + text(random) + text.drop(end)
    }

    private companion object {
        /** Version 3. */
        val LARGE = "3 " + List(3_000) { "{\"name\":\"r$it\",\"path\":\"/p$it/\"}" }
            .joinToString(",", "[", "]")
    }
}
