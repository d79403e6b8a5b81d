package burdockspread.document

import burdockspread.document.edit.StoredDocument
import burdockspread.document.relay.RelayCore
import burdockspread.store.StoredObject
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Sections and manifests that nest deeply. */
class DeepTextTest {
    private val array = "[".repeat(100_000) + "]".repeat(100_000)
    private val texts = listOf(array, "[".repeat(100_000), """{"extra":$array}""")

    // Guards against a StackOverflowError out of a parser.
    @Test
    fun `a deeply nested section is reported`() {
        texts.forEach {
            assertNotNull(SectionReader.read("models", it).leftOrNull())
            assertNotNull(SectionReader.parseCanonical("models", it).leftOrNull())
        }
    }

    @Test
    fun `a deeply nested manifest publishes nothing`() {
        texts.forEach {
            val stored = StoredObject(StoredDocument.MANIFEST, 5, "", it)
            assertEquals(emptyList(), RelayCore().onRead(stored))
        }
    }
}
