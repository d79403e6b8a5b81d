package burdockspread.http

import kotlin.test.Test
import kotlin.test.assertEquals

class SendHintTest {
    @Test
    fun `only the stated value means a first send`() {
        assertEquals(SendHint.FIRST, SendHint.of("first"))
        assertEquals(SendHint.FIRST, SendHint.of(" First "))
        assertEquals(SendHint.REPEATED, SendHint.of("retry"))
        assertEquals(SendHint.REPEATED, SendHint.of("2"))
        assertEquals(SendHint.REPEATED, SendHint.of(""))
        assertEquals(SendHint.UNSTATED, SendHint.of(null))
    }
}
