/** The configuration in force, from the store or from peers. */
package burdockspread.forward.news

import arrow.core.Either
import burdockspread.forward.catalog.Catalog
import burdockspread.forward.host.Deployment
import burdockspread.store.ListResult
import burdockspread.store.StoredObject
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.NewsRequest
import com.google.protobuf.ByteString
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import java.io.IOException

/** Takes newer configurations into force, whoever brings them. Confined to the control loop. */
internal class CatalogUpdates(
    private val deployment: Deployment,
    private val listener: HostViewListener,
) {
    private val history = CatalogHistory()

    /** Whether peers may send differences; not after one that could not be applied. */
    private var acceptsDelta = true
    private val changedAt = MutableStateFlow(0L)
    private val received = MutableStateFlow(0L)

    /** The configuration in force, or null before the first one. */
    var current: Catalog? = null
        private set

    /** Store version of the last change of [current], or 0 if it is unknown. */
    val storeVersion: StateFlow<Long> get() = changedAt

    /** Version of the last configuration that came from the store itself, or 0. */
    val versionFromStore: StateFlow<Long> get() = received

    /** Digest of the text from which peers may send a difference; empty if they may not. */
    val digest: ByteString
        get() = if (acceptsDelta && current != null) history.current.digest else ByteString.EMPTY

    /** Handles a list of the configuration's kind. */
    fun onListed(listed: ListResult.Listed) {
        // A store that has lost its newest revisions gives them out again.
        if (!listed.isCached && listed.version < changedAt.value) changedAt.value = listed.version
        listed.objects.forEach(::onStored)
    }

    /** Handles a part of such a list; returns whether it tells of the configuration. */
    fun onPartlyListed(listed: ListResult.Partial): Boolean {
        listed.objects.forEach(::onStored)
        return listed.objects.any { it.key == deployment.catalogKey }
    }

    /** Handles an object of the configuration's kind. */
    fun onStored(value: StoredObject) {
        if (value.key != deployment.catalogKey) return
        val transfer = CatalogTransfer(CatalogTransfer.STORE, "text", value.value.length)
        apply(CatalogText(value.value), value.version, transfer)
    }

    /** Handles the [reply] to [request] of the [peer]. */
    fun onReply(peer: String, request: NewsRequest, reply: NewsReply) {
        if (reply.catalogVersion <= (current?.version ?: -1)) return
        val known = history.current
        // Another source was faster than this difference, and the next reply fits again.
        if (!reply.catalogDelta.isEmpty && request.catalogDigest != known.digest) return
        try {
            val next = reply.catalogText(known) ?: return
            val (form, size) = reply.catalogForm
            val transfer = CatalogTransfer(CatalogTransfer.PEER, form, size)
            apply(next, reply.catalogStoreVersion, transfer)
        } catch (e: IOException) {
            if (!reply.catalogDelta.isEmpty) acceptsDelta = false
            listener.onCatalogUnreadable(reply.catalogVersion, "peer $peer: ${e.message}")
        }
    }

    /** Adds what this host has beyond [request] to [reply]. */
    fun addTo(reply: NewsReply.Builder, request: NewsRequest) {
        val version = current?.version ?: 0
        reply.catalogVersion = version
        reply.catalogStoreVersion = changedAt.value
        if (version > request.catalogVersion) reply.put(history, request)
    }

    private fun apply(next: CatalogText, storeVersion: Long, transfer: CatalogTransfer) {
        when (val read = deployment.catalog(next.text)) {
            is Either.Left -> listener.onCatalogUnreadable(storeVersion, read.value)
            is Either.Right -> {
                val catalog = read.value
                if (catalog.version <= (current?.version ?: -1)) return
                history.onNext(next)
                acceptsDelta = true
                current = catalog
                listener.onCatalogChanged(catalog, transfer)
                changedAt.value = storeVersion
                if (transfer.source == CatalogTransfer.STORE) received.value = catalog.version
            }
        }
    }
}
