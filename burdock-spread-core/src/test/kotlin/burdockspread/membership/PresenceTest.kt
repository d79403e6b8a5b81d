/** Tests of the precedence order of presences. */
package burdockspread.membership

import kotlin.math.sign
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PresenceTest {
    private val random = Random(11)

    private fun next() = Presence(
        random.nextLong(3),
        random.nextBoolean(),
        random.nextInt(3),
        Suspicion.entries.random(random),
    )

    @Test
    fun `versions are ordered by incarnation, leaving, refutation and suspicion`() {
        val fields = compareBy<Presence>(
            { it.incarnation },
            { it.leaving },
            { it.refutation },
            { it.suspicion },
        )
        repeat(2_000) {
            val a = next()
            val b = next()
            val byFields = fields.compare(a, b).sign
            assertEquals(byFields, a.version.compareTo(b.version).sign, "$a $b")
            assertEquals(a, Presence.ofVersion(a.version))
            assertTrue(a.refuted().suspicion == Suspicion.NONE && a.refuted() >= a)
        }
        val highest = Presence((1L shl 42) - 1, true, Presence.MAX_REFUTATION, Suspicion.DEAD)
        assertEquals(highest, Presence.ofVersion(highest.version))
    }
}
