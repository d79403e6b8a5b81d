package burdockspread.forward.news

import burdockspread.store.ListResult
import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.wire.forward.NewsReply
import com.google.protobuf.ByteString
import kotlinx.collections.immutable.persistentListOf
import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Instant

/** Configurations on their way between hosts. */
class DeflatedCatalogTest {
    private val now = Instant.fromEpochSeconds(1_000)
    private val relay = HostViewUpdater(TextDeployment, { now }).apply { list(LARGE) }
    private val follower = HostViewUpdater(TextDeployment, { now }).apply { list("3") }
    private val request = follower.request("h2", "10.0.0.2:70")

    // Guards against a relay whose followers fill its link for longer than an edit may take.
    @Test
    fun `a large configuration takes a tenth of its size on the way to a follower`() {
        val reply = relay.reply(request, now, emptyList())
        assertTrue(reply.serializedSize < LARGE.length / 10, "${reply.serializedSize} bytes")
        follower.onReply("peer", request, reply, now)
        assertEquals(7, follower.view.catalog?.version)
        val further = HostViewUpdater(TextDeployment, { now })
        val onward = further.request("h3", "10.0.0.3:70")
        further.onReply("peer", onward, follower.reply(onward, now, emptyList()), now)
        assertEquals(7, further.view.catalog?.version)
    }

    // Guards against hosts of an earlier version that get no configuration from a newer relay.
    @Test
    fun `a host that does not accept it gets the text itself`() {
        val earlier = request.toBuilder().clearAcceptsDeflate().build()
        val reply = relay.reply(earlier, now, emptyList())
        assertEquals(LARGE, reply.catalog)
        assertTrue(reply.deflatedCatalog.isEmpty)
    }

    // Guards against a peer in trouble that ends the process or the updates of its followers.
    @Test
    fun `what is no configuration is ignored and the rest of the reply applied`() {
        val valid = deflate(LARGE.encodeToByteArray())
        val forms = mapOf(
            "no zlib" to ByteArray(100) { 1 },
            "cut off" to valid.copyOf(valid.size / 2),
            "endless" to deflate(ByteArray(64_000_000)),
        )
        forms.forEach { (name, bytes) ->
            val reply = NewsReply.newBuilder()
                .setDeflatedCatalog(ByteString.copyFrom(bytes))
                .setCatalogVersion(9)
                .setTargetsVersion(12)
                .build()
            follower.onReply("peer", request, reply, now)
            assertEquals(3, follower.view.catalog?.version, name)
            assertEquals(12, follower.request("h2", "10.0.0.2:70").targetsVersion, name)
        }
    }

    private fun HostViewUpdater.list(text: String) {
        val settings = StoredObject(ObjectKey("settings", "newest"), 5, "", text)
        onListed("settings", ListResult.Listed(persistentListOf(settings), 5))
        onListed("targets", ListResult.Listed(persistentListOf(), 6))
    }

    private fun deflate(bytes: ByteArray): ByteArray =
        ByteArrayOutputStream().also { out -> DeflaterOutputStream(out).use { it.write(bytes) } }
            .toByteArray()

    private companion object {
        /** Version 7, as large as two growths of the largest deployment. */
        val LARGE = "0".repeat(848_000) + "7"
    }
}
