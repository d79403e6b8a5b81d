/** Storage of leases in the object store. */
package burdockspread.steward

import burdockspread.duty.Duty
import burdockspread.duty.LeaseEffect
import burdockspread.duty.LeaseRead
import burdockspread.duty.LeaseRecord
import burdockspread.json.ProtoJson
import burdockspread.settings.toKotlinDuration
import burdockspread.store.ObjectKey
import burdockspread.store.ObjectStore
import burdockspread.store.ReadResult
import burdockspread.store.ResolvedWrite
import burdockspread.store.ResolvingStore
import burdockspread.store.StoredObject
import burdockspread.wire.duty.Lease
import burdockspread.wire.duty.lease
import com.google.protobuf.Duration as DurationMessage

/** Stores leases as objects of kind `leases`. */
internal class LeaseStore(
    private val store: ObjectStore,
    private val resolving: ResolvingStore = ResolvingStore(store),
) {
    /** Reads the lease of [duty]. */
    suspend fun read(duty: Duty): LeaseRead = when (val read = store.get(keyOf(duty))) {
        is ReadResult.Found -> found(read.value)
        is ReadResult.Missing -> LeaseRead.Missing
        is ReadResult.Unavailable -> LeaseRead.Unavailable
    }

    /** Executes [write] and resolves its outcome. */
    suspend fun write(write: LeaseEffect.Write): ResolvedWrite {
        val value = ProtoJson.writeLine(toMessage(write.record))
        return resolving.put(keyOf(write.duty), value, write.condition, write.writeId)
    }

    /** Treats a malformed lease object as unavailable, so that nobody acts on it. */
    private fun found(value: StoredObject): LeaseRead =
        ProtoJson.read(value.value, Lease.getDefaultInstance()).fold(
            { LeaseRead.Unavailable },
            {
                val record =
                    LeaseRecord(
                        it.holder.ifEmpty { null },
                        it.duration.toKotlinDuration(),
                        it.token,
                    )
                LeaseRead.Found(value.version, value.writeId, record)
            },
        )

    private fun toMessage(record: LeaseRecord): Lease = lease {
        holder = record.holder.orEmpty()
        duration =
            DurationMessage.newBuilder().setSeconds(record.duration.inWholeSeconds).build()
        token = record.token
    }

    private fun keyOf(duty: Duty): ObjectKey = ObjectKey(Duty.OBJECT_KIND, duty.name)
}
