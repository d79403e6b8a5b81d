package burdockspread.peer

import burdockspread.load.TargetLoad
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import kotlin.test.Test
import kotlin.test.assertEquals

class GossipEntriesTest {
    // Guards against a gossip message of which nothing counted after one malformed entry.
    @Test
    fun `a malformed entry costs no other`() {
        val key = EntryKey(EntryKind.LOAD, "a")
        val malformed = Entry(key, 1, EntryBytes.of(byteArrayOf(-1, -1, -1)))
        val sound = Entry(key, 2, EntryBytes.of(byteArrayOf()))
        val loads = ArrayList<TargetLoad>()
        listOf(malformed, sound, malformed, sound).applyEach { loads += it.toTargetLoad() }
        assertEquals(listOf(sound, sound).map { it.toTargetLoad() }, loads)
    }
}
