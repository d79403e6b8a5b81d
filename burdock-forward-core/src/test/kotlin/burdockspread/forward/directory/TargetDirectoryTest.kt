package burdockspread.forward.directory

import burdockspread.forward.Fixture
import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class TargetDirectoryTest {
    private val now = Fixture.START
    private val directory = TargetDirectory()

    @Test
    fun `a draining target gets no new requests and drains for its whole incarnation`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, PAST, now)
        directory.onEntry(Fixture.target("a", isDraining = true), 6)
        directory.onEntry(Fixture.target("a"), 7)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `a restarted target is usable again`() {
        directory.onListing(
            listOf(Fixture.target("a", isDraining = true, startedAtMillis = 1)),
            5,
            PAST,
            now,
        )
        directory.onEntry(Fixture.target("a", startedAtMillis = 2), 6)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `a late report of an earlier incarnation is ignored`() {
        directory.onListing(listOf(Fixture.target("a", startedAtMillis = 2)), 5, PAST, now)
        directory.onEntry(Fixture.target("a", startedAtMillis = 1, isDraining = true), 6)
        assertEquals(listOf("a"), usable())
    }

    // Guards against a target that was never seen again, since its clock had been set back.
    @Test
    fun `a target that came back after its removal counts whatever its clock says`() {
        val first = Fixture.target("a", startedAtMillis = 2).copy(created = 5)
        directory.onListing(listOf(first), 5, PAST, now)
        val back = Fixture.target("a", startedAtMillis = 1).copy(created = 7)
        directory.onListing(listOf(back), 8, PAST, now)
        directory.onEntry(back.copy(isDraining = true), 9)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `an older listing is ignored`() {
        directory.onListing(listOf(Fixture.target("a")), 5, PAST, now)
        directory.onListing(emptyList(), 4, PAST, now)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `an entry missing from a listing is removed at once unless it may have expired`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, PAST, now)
        directory.onListing(listOf(Fixture.target("b")), 6, PAST, now)
        assertEquals(listOf("b"), usable())
        val keepUntil = now + 2.seconds
        directory.onListing(emptyList(), 7, keepUntil, now)
        val kept = directory.view().services.values.flatten().single()
        assertEquals(keepUntil, kept.unconfirmedUntil)
        directory.expire(keepUntil - 1.milliseconds)
        assertEquals(listOf("b"), usable())
        directory.expire(keepUntil)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a kept entry is removed at the first deadline, whatever is reported later`() {
        directory.onListing(listOf(Fixture.target("a")), 5, PAST, now)
        directory.onListing(emptyList(), 6, now + 1.seconds, now)
        directory.onListing(emptyList(), 7, now + 9.seconds, now)
        directory.expire(now + 1.seconds)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `only a newer entry confirms a kept one`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, PAST, now)
        directory.onListing(emptyList(), 8, now + 2.seconds, now)
        assertEquals(emptySet(), directory.confirmed())
        val stale = TargetChange(TargetId("a"), Fixture.target("a"), 5)
        val renewed = TargetChange(TargetId("b"), Fixture.target("b"), 9)
        directory.onChanges(listOf(stale, renewed), 9, PAST, now)
        assertEquals(setOf(TargetId("b")), directory.confirmed())
    }

    @Test
    fun `a removal takes effect at once unless the entry may have expired`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, PAST, now)
        directory.onRemoved(TargetId("a"), 6, PAST, now)
        directory.onRemoved(TargetId("b"), 7, now + 1.seconds, now)
        assertEquals(listOf("b"), usable())
        directory.expire(now + 1.seconds)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a later target at the same address replaces the earlier one`() {
        directory.onListing(
            listOf(Fixture.target("a", address = "10.0.0.9:80", startedAtMillis = 1)),
            5,
            PAST,
            now,
        )
        directory.onEntry(Fixture.target("b", address = "10.0.0.9:80", startedAtMillis = 2), 6)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `changes of a peer apply only if they are newer than the known entry`() {
        directory.onListing(listOf(Fixture.target("a"), Fixture.target("b")), 5, PAST, now)
        val gone = TargetId("gone")
        val changes = listOf(
            TargetChange(gone, Fixture.target("gone"), 4),
            TargetChange(TargetId("a"), null, 6),
            TargetChange(TargetId("c"), Fixture.target("c"), 7),
        )
        directory.onChanges(changes, 7, PAST, now)
        assertEquals(listOf("b", "c"), usable())
        directory.onChanges(listOf(TargetChange(TargetId("c"), null, 6)), 6, PAST, now)
        assertEquals(listOf("b", "c"), usable())
    }

    // Guards against a target that stays in use since a listing showed a newer state than a watch.
    @Test
    fun `an event that is older than the listed entry changes nothing`() {
        val listed = Fixture.target("a", isDraining = true, startedAtMillis = 1)
        directory.onListing(listOf(listed.copy(storeVersion = 9)), 5, PAST, now)
        assertFalse(directory.onEntry(Fixture.target("a", startedAtMillis = 2), 7))
        assertEquals(7, directory.version)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a target that registered again after its removal stays`() {
        directory.onListing(listOf(Fixture.target("a").copy(storeVersion = 9)), 5, PAST, now)
        directory.onRemoved(TargetId("a"), 7, PAST, now)
        directory.onListing(listOf(Fixture.target("b")), 8, PAST, now)
        assertEquals(listOf("a", "b"), usable())
        directory.onRemoved(TargetId("a"), 10, PAST, now)
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `an older change of a peer does not replace a listed entry`() {
        val listed = Fixture.target("a", isDraining = true).copy(storeVersion = 9)
        directory.onListing(listOf(listed), 5, PAST, now)
        val older = TargetChange(TargetId("a"), Fixture.target("a", startedAtMillis = 2), 7)
        directory.onChanges(listOf(older), 7, PAST, now)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `each change is reported once`() {
        val reported = ArrayList<String>()
        val watched = TargetDirectory { id, _ -> reported += id.value }
        watched.onListing(listOf(Fixture.target("a")), 5, PAST, now)
        watched.onListing(listOf(Fixture.target("a")), 6, PAST, now)
        watched.onEntry(Fixture.target("a", isDraining = true), 7)
        watched.onListing(emptyList(), 8, now + 2.seconds, now)
        watched.expire(now + 2.seconds)
        assertEquals(listOf("a", "a", "a", "a"), reported)
    }

    private fun usable() =
        directory.view().services.values.flatten().map { it.entry.id.value }.sorted()

    private companion object {
        /** Deadline that has passed: missing entries are not kept. */
        val PAST = Instant.DISTANT_PAST
    }
}
