package burdockspread.document.edit

import burdockspread.document.Documents
import burdockspread.document.SectionReader
import burdockspread.fakes.store.FakeObjectStore
import burdockspread.fakes.store.StoreFault
import burdockspread.fakes.store.StoreFaults
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.test.assertIs
import kotlin.time.Instant

/** An editor on a fake store with a small document that one team owns. */
internal class EditorFixture {
    val store = FakeObjectStore()
    val editor = editorOn(store)
    private var edits = 0

    suspend fun start(vararg sections: String) {
        val root = Documents.root(
            "priorities",
            "organisations",
            "models",
            "zone-a",
            "zone-b",
        )
        assertIs<EditResult.Accepted>(apply(root, *sections))
    }

    fun edit(vararg texts: String, team: String = "ops", id: String = "e${++edits}"): Edit {
        val changes = texts.map { text ->
            EditChange.Write(checkNotNull(SectionReader.parse("", text).getOrNull()))
        }
        return Edit(id, team, "$team/ann", "", changes.toImmutableList())
    }

    suspend fun apply(vararg texts: String, team: String = "ops"): EditResult =
        editor.apply(edit(*texts, team = team))

    fun editorOn(store: ObjectStore) =
        DocumentEditor(store, { Instant.fromEpochSeconds(1_000) }, Random(1))

    suspend fun document(): StoredDocument {
        store.faults = StoreFaults { StoreFault.NONE }
        return checkNotNull(DocumentReader(store).read().getOrNull())
    }

    /** Injects [faults] into the next calls of the store in this order, then none. */
    fun failNext(vararg faults: StoreFault) {
        val left = ArrayDeque(faults.toList())
        store.faults = StoreFaults { left.removeFirstOrNull() ?: StoreFault.NONE }
    }
}

/** A store that runs [race] once, just before the first write of the manifest. */
internal class BeforeManifest(
    private val store: ObjectStore,
    private val race: suspend () -> Unit,
) : ObjectStore by store {
    private var done = false

    override suspend fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
        writeId: String,
    ): WriteResult {
        if (key == StoredDocument.MANIFEST && !done) {
            done = true
            race()
        }
        return store.put(key, value, condition, writeId)
    }
}
