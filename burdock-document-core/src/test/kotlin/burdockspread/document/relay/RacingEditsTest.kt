package burdockspread.document.relay

import burdockspread.document.Documents
import burdockspread.document.edit.DocumentEditor
import burdockspread.document.edit.EditResult
import burdockspread.document.edit.EditorFixture
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Instant

class RacingEditsTest {
    @Test
    fun `versions never go back, no accepted edit is lost and all hosts converge`() {
        var accepted = 0
        for (seed in 1..SCHEDULES) {
            runTest {
                val schedule = RacingSchedule(seed)
                try {
                    schedule.run(this)
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed: ${e.message}", e)
                }
                accepted += schedule.accepted
            }
        }
        assertTrue(accepted > 5 * SCHEDULES, "only $accepted edits were accepted")
    }

    @Test
    fun `two hundred concurrent edits are all accepted`() = runTest {
        val fixture = EditorFixture()
        val names = Array(EDITORS) { "team-$it" }
        assertIs<EditResult.Accepted>(fixture.apply(Documents.root(*names)))
        val results = names.mapIndexed { i, name ->
            val text = Documents.section(name, """"models": {"models": []}""")
            val store = DelayedStore(fixture.store, Random(i))
            val editor = DocumentEditor(store, { Instant.fromEpochSeconds(1) }, Random(i))
            async { editor.apply(fixture.edit(text)) }
        }.awaitAll()
        assertTrue(results.all { it is EditResult.Accepted }, "$results")
        assertTrue(currentTime < 60_000, "$currentTime ms")
    }

    private companion object {
        const val EDITORS = 200
        const val SCHEDULES = 60
    }
}
