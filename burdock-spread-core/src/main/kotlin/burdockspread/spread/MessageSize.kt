/** Estimated sizes of messages on the wire. */
package burdockspread.spread

import kotlinx.collections.immutable.ImmutableList

/** Estimates the bytes of messages, including the headers of all layers. */
public object MessageSize {
    /** Bytes of the HTTP/2, TCP and IP headers of a message. */
    public const val HEADER_BYTES: Int = 120
    private const val DIGEST_BYTES = 13
    private const val ENTRY_BYTES = 18
    private const val NODE_BYTES = 18
    private const val LISTING_BYTES = 12

    /** Returns the estimated bytes of an exchange request. */
    public fun of(request: ExchangeRequest): Int = HEADER_BYTES + request.sender.value.length +
        entries(request.entries) + request.announced.sumOf { digest(it) } +
        request.wanted.sumOf { key(it) } + nodes(request.nodes) + listings(request.listings)

    /** Returns the estimated bytes of an exchange reply. */
    public fun of(reply: ExchangeReply): Int = HEADER_BYTES + reply.known.size +
        entries(reply.entries) + reply.wanted.sumOf { key(it) } + nodes(reply.nodes) +
        listings(reply.listings)

    /** Returns the estimated bytes of a push request. */
    public fun of(request: PushRequest): Int =
        HEADER_BYTES + request.sender.value.length + entries(request.entries)

    internal fun of(entry: Entry): Int = ENTRY_BYTES + entry.key.name.length + entry.value.size

    private fun entries(entries: ImmutableList<Entry>) = entries.sumOf { of(it) }

    private fun digest(digest: EntryDigest) = DIGEST_BYTES + digest.key.name.length

    private fun key(key: EntryKey) = DIGEST_BYTES + key.name.length

    private fun nodes(nodes: ImmutableList<NodeHash>) = nodes.size * NODE_BYTES

    internal fun of(listing: NodeListing): Int =
        LISTING_BYTES + listing.digests.sumOf { digest(it) }

    private fun listings(listings: ImmutableList<NodeListing>) = listings.sumOf { of(it) }
}
