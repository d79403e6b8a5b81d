/** Conversions between gossip types and their protobuf messages. */
package burdockspread.peer

import burdockspread.id.HostId
import burdockspread.spread.Entry
import burdockspread.spread.EntryBytes
import burdockspread.spread.EntryDigest
import burdockspread.spread.EntryKey
import burdockspread.spread.EntryKind
import burdockspread.spread.ExchangeReply
import burdockspread.spread.ExchangeRequest
import burdockspread.spread.NodeHash
import burdockspread.spread.NodeListing
import burdockspread.spread.PushRequest
import burdockspread.spread.TreeNode
import burdockspread.wire.spread.SpreadKind
import burdockspread.wire.spread.entry
import burdockspread.wire.spread.entryDigest
import burdockspread.wire.spread.entryKey
import burdockspread.wire.spread.exchangeReply
import burdockspread.wire.spread.exchangeRequest
import burdockspread.wire.spread.nodeHash
import burdockspread.wire.spread.nodeListing
import burdockspread.wire.spread.pushRequest
import burdockspread.wire.spread.treeNode
import com.google.protobuf.UnsafeByteOperations
import kotlinx.collections.immutable.toImmutableList
import burdockspread.wire.spread.Entry as EntryMessage
import burdockspread.wire.spread.EntryDigest as EntryDigestMessage
import burdockspread.wire.spread.EntryKey as EntryKeyMessage
import burdockspread.wire.spread.ExchangeReply as ExchangeReplyMessage
import burdockspread.wire.spread.ExchangeRequest as ExchangeRequestMessage
import burdockspread.wire.spread.NodeHash as NodeHashMessage
import burdockspread.wire.spread.NodeListing as NodeListingMessage
import burdockspread.wire.spread.PushRequest as PushRequestMessage
import burdockspread.wire.spread.TreeNode as TreeNodeMessage

// Entries of a kind that this version does not know are skipped; their hosts send them again.

internal fun ExchangeRequest.toMessage(): ExchangeRequestMessage {
    val request = this
    return exchangeRequest {
        sender = request.sender.value
        entries += request.entries.map { it.toMessage() }
        announced += request.announced.map { it.toMessage() }
        wanted += request.wanted.map { it.toMessage() }
        nodes += request.nodes.map { it.toMessage() }
        listings += request.listings.map { it.toMessage() }
    }
}

internal fun ExchangeRequestMessage.toExchangeRequest(): ExchangeRequest = ExchangeRequest(
    HostId(sender),
    entriesList.mapNotNull { it.toEntry() }.toImmutableList(),
    announcedList.mapNotNull { it.toDigest() }.toImmutableList(),
    wantedList.mapNotNull { it.toKey() }.toImmutableList(),
    nodesList.mapNotNull { it.toNodeHash() }.toImmutableList(),
    listingsList.mapNotNull { it.toListing() }.toImmutableList(),
)

internal fun ExchangeReply.toMessage(): ExchangeReplyMessage {
    val reply = this
    return exchangeReply {
        entries += reply.entries.map { it.toMessage() }
        known += reply.known
        wanted += reply.wanted.map { it.toMessage() }
        nodes += reply.nodes.map { it.toMessage() }
        listings += reply.listings.map { it.toMessage() }
        truncated = reply.truncated
    }
}

internal fun ExchangeReplyMessage.toExchangeReply(): ExchangeReply = ExchangeReply(
    entriesList.mapNotNull { it.toEntry() }.toImmutableList(),
    knownList.toImmutableList(),
    wantedList.mapNotNull { it.toKey() }.toImmutableList(),
    nodesList.mapNotNull { it.toNodeHash() }.toImmutableList(),
    listingsList.mapNotNull { it.toListing() }.toImmutableList(),
    truncated,
)

internal fun PushRequest.toMessage(): PushRequestMessage {
    val request = this
    return pushRequest {
        sender = request.sender.value
        entries += request.entries.map { it.toMessage() }
    }
}

internal fun PushRequestMessage.toPushRequest(): PushRequest =
    PushRequest(HostId(sender), entriesList.mapNotNull { it.toEntry() }.toImmutableList())

private fun Entry.toMessage(): EntryMessage {
    val value = this
    return entry {
        kind = value.key.kind.toMessage()
        name = value.key.name
        version = value.version
        this.value = UnsafeByteOperations.unsafeWrap(value.value.toByteArray())
        retired = value.retired
    }
}

private fun EntryMessage.toEntry(): Entry? = kindOf(kind)?.let {
    Entry(EntryKey(it, name), version, EntryBytes.of(value.toByteArray()), retired)
}

private fun EntryDigest.toMessage(): EntryDigestMessage {
    val digest = this
    return entryDigest {
        kind = digest.key.kind.toMessage()
        name = digest.key.name
        version = digest.version
    }
}

private fun EntryDigestMessage.toDigest(): EntryDigest? =
    kindOf(kind)?.let { EntryDigest(EntryKey(it, name), version) }

private fun EntryKey.toMessage(): EntryKeyMessage {
    val key = this
    return entryKey {
        kind = key.kind.toMessage()
        name = key.name
    }
}

private fun EntryKeyMessage.toKey(): EntryKey? = kindOf(kind)?.let { EntryKey(it, name) }

private fun NodeHash.toMessage(): NodeHashMessage {
    val value = this
    return nodeHash {
        node = value.node.toMessage()
        hash = value.hash
    }
}

private fun NodeHashMessage.toNodeHash(): NodeHash? = node.toNode()?.let { NodeHash(it, hash) }

private fun NodeListing.toMessage(): NodeListingMessage {
    val listing = this
    return nodeListing {
        node = listing.node.toMessage()
        digests += listing.digests.map { it.toMessage() }
    }
}

private fun NodeListingMessage.toListing(): NodeListing? = node.toNode()?.let { node ->
    NodeListing(node, digestsList.mapNotNull { it.toDigest() }.toImmutableList())
}

private fun TreeNode.toMessage(): TreeNodeMessage {
    val node = this
    return treeNode {
        kind = node.kind.toMessage()
        depth = node.depth
        index = node.index
    }
}

private fun TreeNodeMessage.toNode(): TreeNode? = kindOf(kind)?.let { TreeNode(it, depth, index) }

private fun EntryKind.toMessage(): SpreadKind = SpreadKind.forNumber(wireNumber)

private fun kindOf(kind: SpreadKind): EntryKind? = EntryKind.of(kind.number)
