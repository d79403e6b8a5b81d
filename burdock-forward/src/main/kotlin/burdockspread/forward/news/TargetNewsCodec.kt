/** Conversion of targets between the store's form and that of messages to peers. */
package burdockspread.forward.news

import burdockspread.id.TargetId
import burdockspread.store.NameRange
import burdockspread.store.ObjectKey
import burdockspread.store.StoredObject
import burdockspread.store.UnreadNames
import burdockspread.wire.forward.NewsReply
import burdockspread.wire.forward.TargetNews
import burdockspread.wire.forward.UnreadRange
import kotlinx.collections.immutable.toImmutableList

internal fun StoredObject.toNews(): TargetNews = TargetNews.newBuilder()
    .setName(key.name)
    .setEntry(value)
    .setVersion(version)
    .setCreated(created)
    .build()

internal fun removalNews(id: TargetId, version: Long): TargetNews =
    TargetNews.newBuilder().setName(id.value).setVersion(version).build()

/** Returns the entry as an object of [kind]. */
internal fun TargetNews.toStored(kind: String): StoredObject =
    StoredObject(ObjectKey(kind, name), version, "", entry, created)

internal fun UnreadNames.toNews(): List<UnreadRange> = ranges.map {
    UnreadRange.newBuilder().setAfter(it.after).setBefore(it.before.orEmpty()).build()
}

internal fun NewsReply.unreadNames(): UnreadNames = UnreadNames(
    unreadTargetsList.map { NameRange(it.after, it.before.ifEmpty { null }) }.toImmutableList(),
)
