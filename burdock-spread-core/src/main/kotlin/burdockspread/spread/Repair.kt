/** Compares the entries of two hosts along their hash trees. */
package burdockspread.spread

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

/** What one host answers to a part of the other's tree. */
internal data class RepairStep(
    val nodes: ImmutableList<NodeHash>,
    val listings: ImmutableList<NodeListing>,
    val wanted: ImmutableList<EntryKey>,
    val give: ImmutableList<Entry>,
)

/** Walks down the trees where they differ and compares digests at the end. */
internal class Repair(
    private val table: EntryTable,
    private val maxMessageBytes: Int,
    private val random: Random,
) {
    fun roots(): ImmutableList<NodeHash> = EntryKind.entries
        .filter { it.repaired }
        .map { hashOf(TreeNode(it, 0, 0)) }
        .toImmutableList()

    fun compare(nodes: List<NodeHash>, listings: List<NodeListing>): RepairStep {
        val differing = nodes.filter { isValid(it.node) && table.hash(it.node) != it.hash }
        val (listable, others) = differing.partition { isListable(it.node) }
        val deeper = others.flatMap { children(it) }
        val wanted = mutableListOf<EntryKey>()
        val give = mutableListOf<Entry>()
        val valid = listings.filter { isValid(it.node) }
        rotated(valid).forEach { compareListing(it, wanted, give) }
        return RepairStep(
            deeper.toImmutableList(),
            listings(listable.map { it.node }),
            wanted.toImmutableList(),
            give.toImmutableList(),
        )
    }

    private fun compareListing(
        listing: NodeListing,
        wanted: MutableList<EntryKey>,
        give: MutableList<Entry>,
    ) {
        val remote = HashMap<EntryKey, Long>()
        for (digest in listing.digests) {
            remote[digest.key] = digest.version
            val own = table.get(digest.key)
            when {
                own == null || own.version < digest.version -> wanted += digest.key
                own.version > digest.version -> give += own
            }
        }
        give += table.entries(listing.node).filter { it.key !in remote }
    }

    private fun children(remote: NodeHash): List<NodeHash> {
        val node = remote.node
        return List(HashTree.FAN_OUT) { i ->
            hashOf(TreeNode(node.kind, node.depth + 1, node.index * HashTree.FAN_OUT + i))
        }
    }

    private fun isListable(node: TreeNode): Boolean =
        node.depth == HashTree.MAX_DEPTH || table.count(node) <= LISTABLE_ENTRIES

    fun hashes(nodes: List<TreeNode>): ImmutableList<NodeHash> =
        nodes.map { hashOf(it) }.toImmutableList()

    /** As many listings as fit into a message; later rounds compare the rest. */
    private fun listings(nodes: List<TreeNode>): ImmutableList<NodeListing> {
        var room = maxMessageBytes
        return rotated(nodes)
            .asSequence()
            .takeWhile { room > 0 }
            .map { node -> listing(node).also { room -= MessageSize.of(it) } }
            .toList()
            .toImmutableList()
    }

    /** Peers that help one host at the same time begin at different parts. */
    private fun <T> rotated(items: List<T>): List<T> {
        if (items.isEmpty()) return items
        val start = random.nextInt(items.size)
        return items.drop(start) + items.take(start)
    }

    private fun listing(node: TreeNode): NodeListing =
        NodeListing(node, table.entries(node).map { it.digest }.toImmutableList())

    private fun hashOf(node: TreeNode): NodeHash = NodeHash(node, table.hash(node))

    private fun isValid(node: TreeNode): Boolean = node.kind.repaired &&
        node.depth in 0..HashTree.MAX_DEPTH &&
        node.index in 0 until HashTree.width(node.depth)

    private companion object {
        /** Entries up to which their digests take about as many bytes as the next level. */
        const val LISTABLE_ENTRIES = 12
    }
}
