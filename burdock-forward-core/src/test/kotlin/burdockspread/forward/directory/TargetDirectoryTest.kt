package burdockspread.forward.directory

import burdockspread.forward.Fixture
import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class TargetDirectoryTest {
    private val now = Fixture.START
    private val directory = TargetDirectory()

    @Test
    fun `a draining target gets no new requests and drains for its whole incarnation`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, now)
        directory.onEntry(Fixture.target("a", isDraining = true), 6)
        directory.onEntry(Fixture.target("a"), 7)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `a restarted target is usable again`() {
        directory.onListing(
            listOf(Fixture.target("a", isDraining = true, startedAtMillis = 1)),
            5,
            now,
        )
        directory.onEntry(Fixture.target("a", startedAtMillis = 2), 6)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `a late report of an earlier incarnation is ignored`() {
        directory.onListing(listOf(Fixture.target("a", startedAtMillis = 2)), 5, now)
        directory.onEntry(Fixture.target("a", startedAtMillis = 1, isDraining = true), 6)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `an older listing is ignored`() {
        directory.onListing(listOf(Fixture.target("a")), 5, now)
        directory.onListing(emptyList(), 4, now)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `an entry missing from a listing is unconfirmed and removed after the grace period`() {
        directory.onListing(listOf(Fixture.target("a")), 5, now)
        directory.onListing(emptyList(), 6, now)
        assertTrue(directory.view().services.values.flatten().single().isUnconfirmed)
        directory.expire(now + 2.seconds)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a removal takes effect at once unless the store has just come back`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, now)
        directory.onRemoved(TargetId("a"), 6, null, now)
        directory.onRemoved(TargetId("b"), 7, reconnectedAt = now - 1.seconds, now)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `a later target at the same address replaces the earlier one`() {
        directory.onListing(
            listOf(Fixture.target("a", address = "10.0.0.9:80", startedAtMillis = 1)),
            5,
            now,
        )
        directory.onEntry(Fixture.target("b", address = "10.0.0.9:80", startedAtMillis = 2), 6)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `changes of a peer apply only if they are newer than the known entry`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, now)
        val gone = TargetId("gone")
        val changes = listOf(
            TargetChange(gone, Fixture.target("gone"), 4),
            TargetChange(TargetId("a"), null, 6),
            TargetChange(TargetId("c"), Fixture.target("c"), 7),
        )
        directory.onChanges(changes, 7)
        assertEquals(listOf("b", "c"), usable())
        directory.onChanges(listOf(TargetChange(TargetId("c"), null, 6)), 6)
        assertEquals(listOf("b", "c"), usable())
    }

    @Test
    fun `each change is reported once`() {
        val reported = ArrayList<String>()
        val watched = TargetDirectory { id, _ -> reported += id.value }
        watched.onListing(listOf(Fixture.target("a")), 5, now)
        watched.onListing(listOf(Fixture.target("a")), 6, now)
        watched.onEntry(Fixture.target("a", isDraining = true), 7)
        watched.onListing(emptyList(), 8, now)
        watched.expire(now + 2.seconds)
        assertEquals(listOf("a", "a", "a", "a"), reported)
    }

    private fun usable() =
        directory.view().services.values.flatten().map { it.entry.id.value }.sorted()
}
