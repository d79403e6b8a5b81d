/** Messages between the spread cores of two hosts. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A node of the hash tree over the entries of one kind.
 *
 * @property depth 0 for the root, [HashTree.MAX_DEPTH] for a leaf bucket.
 * @property index position among the nodes of that depth.
 */
public data class TreeNode(
    public val kind: EntryKind,
    public val depth: Int,
    public val index: Int,
)

/** A tree node and the hash over the names and versions of the entries below it. */
public data class NodeHash(public val node: TreeNode, public val hash: Long)

/** All digests below a tree node; whatever is not listed is missing at the sender. */
public data class NodeListing(
    public val node: TreeNode,
    public val digests: ImmutableList<EntryDigest>,
)

/**
 * Opens or continues an exchange.
 *
 * @property entries small fresh entries.
 * @property announced digests of larger fresh entries, sent only when the receiver wants them.
 * @property wanted entries that the sender lacks.
 * @property nodes hashes to compare; the reply goes one level deeper where they differ.
 * @property listings digests to compare one by one.
 */
public data class ExchangeRequest(
    public val sender: HostId,
    public val entries: ImmutableList<Entry> = persistentListOf(),
    public val announced: ImmutableList<EntryDigest> = persistentListOf(),
    public val wanted: ImmutableList<EntryKey> = persistentListOf(),
    public val nodes: ImmutableList<NodeHash> = persistentListOf(),
    public val listings: ImmutableList<NodeListing> = persistentListOf(),
)

/**
 * Answer to an [ExchangeRequest].
 *
 * @property known positions of entries that brought nothing new, counted over
 * [ExchangeRequest.entries] and then [ExchangeRequest.announced].
 * @property truncated whether entries were left out for lack of room.
 */
public data class ExchangeReply(
    public val entries: ImmutableList<Entry> = persistentListOf(),
    public val known: ImmutableList<Int> = persistentListOf(),
    public val wanted: ImmutableList<EntryKey> = persistentListOf(),
    public val nodes: ImmutableList<NodeHash> = persistentListOf(),
    public val listings: ImmutableList<NodeListing> = persistentListOf(),
    public val truncated: Boolean = false,
)

/** Entries that the receiver wanted, or that their origin sends directly. */
public data class PushRequest(public val sender: HostId, public val entries: ImmutableList<Entry>)
