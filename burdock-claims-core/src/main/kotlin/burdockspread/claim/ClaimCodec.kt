/** Encoding of the ledger's objects in the store. */
package burdockspread.claim

import burdockspread.json.mergeBounded
import burdockspread.store.ObjectKey
import burdockspread.wire.claims.ClaimArchive
import burdockspread.wire.claims.ClaimHead
import burdockspread.wire.claims.ClaimLayout
import com.google.protobuf.Message
import com.google.protobuf.util.JsonFormat

/** Object keys and JSON encoding of heads and archives. */
internal object ClaimCodec {
    private const val HEADS = "claims"
    private const val ARCHIVES = "claim-archives"
    private val printer = JsonFormat.printer().omittingInsignificantWhitespace()
    private val parser = JsonFormat.parser().ignoringUnknownFields()

    val layoutKey = ObjectKey(HEADS, "layout")

    fun headKey(shard: Int): ObjectKey = ObjectKey(HEADS, "$shard")

    fun archiveKey(shard: Int, first: Long): ObjectKey = ObjectKey(ARCHIVES, "$shard-$first")

    fun encode(message: Message): String = printer.print(message)

    fun decodeLayout(text: String): ClaimLayout =
        ClaimLayout.newBuilder().also { parser.mergeBounded(text, it) }.build()

    fun decodeHead(text: String): ClaimHead =
        ClaimHead.newBuilder().also { parser.mergeBounded(text, it) }.build()

    fun decodeArchive(text: String): ClaimArchive =
        ClaimArchive.newBuilder().also { parser.mergeBounded(text, it) }.build()
}
