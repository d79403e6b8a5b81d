package burdockspread.forward.directory

import burdockspread.forward.Fixture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreContactTest {
    private val start = Fixture.START
    private val contact = StoreContact(reportInterval = 1_200.milliseconds).apply { onHeard(start) }

    @Test
    fun `entries are kept for a while after an outage in which they may have expired`() {
        contact.onFailed(start + 1.seconds)
        contact.onFailed(start + 3.seconds)
        contact.onHeard(start + 4.seconds)
        assertEquals(start + 5.seconds, contact.keepUntil)
    }

    @Test
    fun `a short interruption expires no entries`() {
        contact.onFailed(start + 2.seconds)
        contact.onHeard(start + 2_300.milliseconds)
        assertTrue(contact.keepUntil < start)
    }

    @Test
    fun `silence without a failed call is no outage`() {
        contact.onHeard(start + 10.seconds)
        assertTrue(contact.keepUntil < start)
    }

    @Test
    fun `a failure of this host alone is no outage while peers hear from the store`() {
        contact.onFailed(start + 1.seconds)
        contact.onHeard(start + 2.seconds)
        contact.onFailed(start + 3.seconds)
        contact.onHeard(start + 4.seconds)
        assertTrue(contact.keepUntil < start)
    }
}
