package burdockspread.forward.load

import burdockspread.forward.Fixture
import burdockspread.id.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class PromptLocationsTest {
    private val locations = PromptLocations()
    private val now = Fixture.START
    private val one = TargetId("one")
    private val two = TargetId("two")

    @Test
    fun `the last target of a prompt is found for a while`() {
        locations.onSent(1, one, now)
        locations.onSent(1, two, now + 1.seconds)
        assertEquals(two, locations.find(1, now + 20.seconds)?.target)
        assertNull(locations.find(1, now + 22.seconds))
        assertNull(locations.find(2, now))
    }

    @Test
    fun `a repeated report does not make a location newer`() {
        locations.onPeerSent(1, one, now)
        locations.onPeerSent(1, one, now + 4.seconds)
        assertEquals(now, locations.find(1, now + 4.seconds)?.at)
    }

    @Test
    fun `only own prompts are reported, and only for a while`() {
        locations.onSent(1, one, now)
        locations.onPeerSent(2, two, now)
        assertEquals(mapOf(1L to one), locations.recentlySent(now + 5.seconds).toMap())
        assertEquals(emptyMap(), locations.recentlySent(now + 6.seconds).toMap())
    }

    @Test
    fun `memory is bounded`() {
        repeat(10_000) { locations.onPeerSent(it.toLong(), one, now) }
        assertNull(locations.find(0, now))
        assertEquals(one, locations.find(9_999, now)?.target)
    }
}
