/** Messages between the gossip cores of two hosts. */
package burdockspread.spread

import burdockspread.id.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A node in the hash tree of one kind.
 *
 * @property depth 0 for the root, [HashTree.MAX_DEPTH] for a leaf bucket.
 * @property index position among the nodes of the same depth.
 */
public data class TreeNode(
    public val kind: EntryKind,
    public val depth: Int,
    public val index: Int,
)

/** A tree node with the hash of the names and versions of all entries below it. */
public data class NodeHash(public val node: TreeNode, public val hash: Long)

/** All digests below a tree node; the sender lacks any entry that is not listed. */
public data class NodeListing(
    public val node: TreeNode,
    public val digests: ImmutableList<EntryDigest>,
)

/**
 * Request that starts or continues an exchange.
 *
 * @property entries small new entries, sent inline.
 * @property announced digests of larger new entries, which are sent only on request.
 * @property wanted keys of entries that the sender requests.
 * @property nodes hashes to compare; where they differ, the reply has the next level of the tree.
 * @property listings digests to compare entry by entry.
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
 * Reply to an [ExchangeRequest].
 *
 * @property known positions of entries that the receiver already had, counted over
 * [ExchangeRequest.entries] followed by [ExchangeRequest.announced].
 * @property truncated whether entries were omitted because of the message size or rate limit.
 */
public data class ExchangeReply(
    public val entries: ImmutableList<Entry> = persistentListOf(),
    public val known: ImmutableList<Int> = persistentListOf(),
    public val wanted: ImmutableList<EntryKey> = persistentListOf(),
    public val nodes: ImmutableList<NodeHash> = persistentListOf(),
    public val listings: ImmutableList<NodeListing> = persistentListOf(),
    public val truncated: Boolean = false,
)

/** Entries that the receiver requested, or that their origin sends directly. */
public data class PushRequest(public val sender: HostId, public val entries: ImmutableList<Entry>)
