/** Anti-entropy: comparison of the entries of two hosts by their hash trees. */
package burdockspread.spread

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

/** Result of comparing a part of a remote hash tree with the local one. */
internal data class AntiEntropyStep(
    val nodes: ImmutableList<NodeHash>,
    val listings: ImmutableList<NodeListing>,
    val wanted: ImmutableList<EntryKey>,
    val toSend: ImmutableList<Entry>,
)

/** Descends the hash trees where they differ, and compares digests once few entries are left. */
internal class AntiEntropy(
    private val table: EntryTable,
    private val maxMessageBytes: Int,
    private val random: Random,
) {
    fun rootHashes(): ImmutableList<NodeHash> = EntryKind.entries
        .filter { it.usesAntiEntropy }
        .map { hashOf(TreeNode(it, 0, 0)) }
        .toImmutableList()

    fun compare(nodes: List<NodeHash>, listings: List<NodeListing>): AntiEntropyStep {
        val differing = nodes.filter { isValid(it.node) && table.hash(it.node) != it.hash }
        val (listable, others) = differing.partition { isListable(it.node) }
        val deeper = others.flatMap { children(it) }
        val wanted = mutableListOf<EntryKey>()
        val toSend = mutableListOf<Entry>()
        val valid = listings.filter { isValid(it.node) }
        rotated(valid).forEach { compareListing(it, wanted, toSend) }
        return AntiEntropyStep(
            deeper.toImmutableList(),
            listings(listable.map { it.node }),
            wanted.toImmutableList(),
            toSend.toImmutableList(),
        )
    }

    private fun compareListing(
        listing: NodeListing,
        wanted: MutableList<EntryKey>,
        toSend: MutableList<Entry>,
    ) {
        val remote = HashMap<EntryKey, Long>()
        for (digest in listing.digests) {
            remote[digest.key] = digest.version
            val local = table.get(digest.key)
            when {
                local == null || local.version < digest.version -> wanted += digest.key
                local.version > digest.version -> toSend += local
            }
        }
        toSend += table.entries(listing.node).filter { it.key !in remote }
    }

    private fun children(remote: NodeHash): List<NodeHash> {
        val node = remote.node
        return List(HashTree.FAN_OUT) { i ->
            hashOf(TreeNode(node.kind, node.depth + 1, node.index * HashTree.FAN_OUT + i))
        }
    }

    private fun isListable(node: TreeNode): Boolean =
        node.depth == HashTree.MAX_DEPTH || table.count(node) <= MAX_LISTED_ENTRIES

    fun hashes(nodes: List<TreeNode>): ImmutableList<NodeHash> =
        nodes.map { hashOf(it) }.toImmutableList()

    /** Returns as many listings as fit into a message; later rounds compare the others. */
    private fun listings(nodes: List<TreeNode>): ImmutableList<NodeListing> {
        var remainingBytes = maxMessageBytes
        return rotated(nodes)
            .asSequence()
            .takeWhile { remainingBytes > 0 }
            .map { node -> listing(node).also { remainingBytes -= MessageSize.of(it) } }
            .toList()
            .toImmutableList()
    }

    /** Rotates [items] randomly, so that several peers of a joining host send different parts. */
    private fun <T> rotated(items: List<T>): List<T> {
        if (items.isEmpty()) return items
        val start = random.nextInt(items.size)
        return items.drop(start) + items.take(start)
    }

    private fun listing(node: TreeNode): NodeListing =
        NodeListing(node, table.entries(node).map { it.digest }.toImmutableList())

    private fun hashOf(node: TreeNode): NodeHash = NodeHash(node, table.hash(node))

    private fun isValid(node: TreeNode): Boolean = node.kind.usesAntiEntropy &&
        node.depth in 0..HashTree.MAX_DEPTH &&
        node.index in 0 until HashTree.width(node.depth)

    private companion object {
        /** Entries whose digests take about as many bytes as the hashes of the next level. */
        const val MAX_LISTED_ENTRIES = 12
    }
}
