/** Puts a fleet's document into its store. */
package burdockspread.demo

import burdockspread.store.ObjectKey
import burdockspread.store.ReadResult
import burdockspread.store.WriteCondition
import burdockspread.store.WriteResult
import burdockspread.store.http.HttpObjectStore
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds

/** Writes all sections of [fleet] that do not exist yet. */
internal fun writeDocument(fleet: Fleet): Unit =
    runBlocking {
        HttpObjectStore(fleet.layout.store, "demo", 5.seconds).use { store ->
            fleet.document.sections().forEach { section ->
                val key = ObjectKey("sections", section.name)
                val result = store.put(key, section.json, WriteCondition.Absent, "demo")
                check(result is WriteResult.Written) { "${section.name}: $result" }
            }
        }
    }

/** Replaces [section] in the store, whatever its version is, and tells its new version. */
internal fun editSection(
    fleet: Fleet,
    section: SectionText,
): String =
    runBlocking {
        HttpObjectStore(fleet.layout.store, "demo", 5.seconds).use { store ->
            val key = ObjectKey("sections", section.name)
            val found = store.get(key) as ReadResult.Found
            val condition = WriteCondition.AtVersion(found.value.version)
            "${section.name}: ${store.put(key, section.json, condition, "demo-edit")}"
        }
    }
