package burdockspread.forward.news

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import burdockspread.forward.catalog.CallerLimits
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.directory.TargetEntry
import burdockspread.forward.host.Deployment
import burdockspread.forward.http.Calls
import burdockspread.forward.http.Dialect
import burdockspread.id.FailureDomainId
import burdockspread.id.ServiceId
import burdockspread.id.TargetId
import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.StoredObject
import burdockspread.store.WatchEvent
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.NewsRequest
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class HostNewsTest {
    private var now = Instant.fromEpochSeconds(1_000)
    private val news = HostNews(TextDeployment, { now })

    @Test
    fun `a host serves once it knows a configuration and the targets`() {
        assertFalse(news.view.serving)
        news.onListed("settings", listed(5, catalog(3)))
        assertFalse(news.view.serving)
        news.onListed("targets", listed(6, target("a", 6)))
        assertTrue(news.view.serving)
        assertEquals(3, news.view.catalog?.version)
    }

    @Test
    fun `versions never go back, whoever brings them`() {
        follow()
        news.onEvent("settings", WatchEvent.Put(catalog(9)))
        news.onListed("settings", listed(5, catalog(4)))
        assertEquals(9, news.view.catalog?.version)
    }

    @Test
    fun `a configuration that cannot be read leaves the one in force`() {
        follow()
        news.onEvent("settings", WatchEvent.Put(settings("nonsense", 20)))
        assertEquals(3, news.view.catalog?.version)
    }

    @Test
    fun `a host that the store turns away asks peers, and is no longer sure`() {
        follow()
        assertTrue(news.watches(now))
        news.onUnavailable("settings", "status 503")
        assertFalse(news.watches(now))
        assertFalse(news.view.current)
    }

    @Test
    fun `a store that falls silent is noticed without a refusal`() {
        follow()
        now += 4.seconds
        news.tick()
        assertFalse(news.watches(now))
        assertFalse(news.view.current)
    }

    @Test
    fun `a host without the store learns configuration and leaving targets from a peer`() {
        val peer = HostNews(TextDeployment, { now })
        peer.onListed("settings", listed(5, catalog(7)))
        val leaving = settings("b leaving", 9).copy(key = ObjectKey("targets", "b"))
        peer.onListed("targets", listed(9, target("a", 6), leaving))
        follow()
        news.onUnavailable("settings", "no answer")
        news.onUnavailable("targets", "no answer")
        val reply = peer.reply(news.request("h2", "10.0.0.2:70"), listOf("10.0.0.3:70"))
        news.onReply(reply, reply.confirmed)
        assertEquals(7, news.view.catalog?.version)
        assertEquals(listOf("a"), usable())
        assertTrue(news.view.current)
    }

    @Test
    fun `who follows gets only what changed, and forgets what is gone`() {
        val relay = HostNews(TextDeployment, { now })
        relay.onListed("settings", listed(5, catalog(7)))
        relay.onListed("targets", listed(6, target("a", 6), target("b", 6)))
        val first = relay.reply(news.request("h2", "10.0.0.2:70"), emptyList())
        news.onReply(first, first.confirmed)
        assertEquals(listOf("a", "b"), usable().sorted())
        relay.onEvent("targets", WatchEvent.Put(target("c", 8)))
        relay.onEvent("targets", WatchEvent.Deleted(ObjectKey("targets", "a"), 9))
        val next = relay.reply(followOn(first), emptyList())
        assertTrue(next.changesOnly)
        assertEquals(setOf("a", "c"), next.targetsList.map { it.name }.toSet())
        news.onReply(next, next.confirmed)
        assertEquals(listOf("b", "c"), usable().sorted())
        assertEquals(0, relay.reply(followOn(next), emptyList()).targetsCount)
    }

    @Test
    fun `a relay that is behind does not bring back what is gone`() {
        val relay = HostNews(TextDeployment, { now })
        relay.onListed("settings", listed(5, catalog(7)))
        relay.onListed("targets", listed(6, target("a", 6)))
        val first = relay.reply(news.request("h2", "10.0.0.2:70"), emptyList())
        news.onReply(first, first.confirmed)
        news.onListed("targets", listed(20, target("b", 19)))
        now += 3.seconds
        news.tick()
        relay.onEvent("targets", WatchEvent.Put(target("a", 8)))
        val late = relay.reply(followOn(first), emptyList())
        news.onReply(late, late.confirmed)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `a question waits for news and ends when the store is lost`() = runTest {
        follow()
        val known = news.reply(news.request("h2", "10.0.0.2:70"), emptyList())
        val waiting = async { news.awaitNews(followOn(known)) }
        runCurrent()
        assertFalse(waiting.isCompleted)
        news.onEvent("settings", WatchEvent.Put(catalog(9)))
        runCurrent()
        assertTrue(waiting.isCompleted)
        val next = news.reply(followOn(known), emptyList())
        val second = async { news.awaitNews(followOn(next)) }
        runCurrent()
        assertFalse(second.isCompleted)
        news.onUnavailable("targets", "status 503")
        runCurrent()
        assertTrue(second.isCompleted)
        assertFalse(news.reply(followOn(next), emptyList()).confirmed)
    }

    @Test
    fun `a peer sends nothing that the asking host has`() {
        follow()
        val reply = news.reply(news.request("h2", "10.0.0.2:70"), emptyList())
        assertEquals("", reply.catalog)
        assertEquals(0, reply.targetsCount)
    }

    @Test
    fun `entries of targets that are gone are not kept`() {
        follow()
        news.onEvent("targets", WatchEvent.Put(target("b", 8)))
        news.onEvent("targets", WatchEvent.Deleted(ObjectKey("targets", "b"), 9))
        news.tick()
        val empty = HostNews(TextDeployment, { now }).request("h2", "10.0.0.2:70")
        val told = news.reply(empty, emptyList()).targetsList.map { it.name }
        assertEquals(listOf("a"), told)
    }

    private fun follow() {
        news.onListed("settings", listed(5, catalog(3)))
        news.onListed("targets", listed(6, target("a", 6)))
    }

    /** The question of a host that knows all of [reply]. */
    private fun followOn(reply: NewsReply): NewsRequest = NewsRequest.newBuilder()
        .setCatalogVersion(reply.catalogVersion)
        .setTargetsVersion(reply.targetsVersion)
        .setJournalId(reply.journalId)
        .setJournalPosition(reply.journalPosition)
        .setWaitMillis(1_000)
        .build()

    private fun usable() = news.view.directory.services.values.flatten().map { it.entry.id.value }

    private fun listed(version: Long, vararg objects: StoredObject) =
        ListResult.Listed(objects.toList().toImmutableList(), version)

    private fun catalog(version: Long) = settings("$version", version)

    private fun settings(text: String, version: Long) =
        StoredObject(ObjectKey("settings", "newest"), version, "", text)

    private fun target(name: String, version: Long) =
        StoredObject(ObjectKey("targets", name), version, "", name)

    /** Configurations are a number, targets their name. */
    private object TextDeployment : Deployment {
        override val dialect: Dialect get() = error("unused")
        override val catalogKey = ObjectKey("settings", "newest")
        override val targetKind = "targets"

        override fun catalog(text: String): Either<String, Catalog> {
            val version = text.toLongOrNull() ?: return "no number".left()
            val limits = CallerLimits(1, 1, 1.seconds, 1.seconds)
            return Catalog(
                version,
                persistentListOf(),
                persistentMapOf(),
                persistentListOf(),
                limits,
            ).right()
        }

        override fun target(stored: StoredObject): TargetEntry {
            val leaving = stored.value.endsWith("leaving")
            val id = TargetId(stored.key.name)
            val domain = FailureDomainId("north")
            return TargetEntry(id, ServiceId("s"), "10.0.0.1:1", domain, 1, leaving, 1, 1)
        }

        override fun store(address: String, calls: Calls): ObjectStore = error("unused")
    }
}
