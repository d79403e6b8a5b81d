/** Key of a claim in the ledger. */
package burdockspread.claim

import burdockspread.id.IdempotencyKey
import burdockspread.id.OrganisationId
import com.google.common.hash.Hashing
import java.nio.ByteBuffer

/** First 128 bits of the SHA-256 of an organisation and its idempotency key. */
public data class KeyHash(public val high: Long, public val low: Long) {
    /** Returns the shard of the key, from 0 until [shardCount]. */
    public fun shard(shardCount: Int): Int = Math.floorMod(low, shardCount)

    internal fun toBytes(): ByteArray =
        ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array()

    public companion object {
        private const val BYTES: Int = 16

        /** Hashes [organisation] and [key]. */
        public fun of(organisation: OrganisationId, key: IdempotencyKey): KeyHash {
            val hasher = Hashing.sha256().newHasher()
            hasher.putLengthPrefixed(organisation.value.encodeToByteArray())
            hasher.putLengthPrefixed(key.value.encodeToByteArray())
            return of(hasher.hash().asBytes())
        }

        internal fun of(bytes: ByteArray): KeyHash {
            val buffer = ByteBuffer.wrap(bytes)
            return KeyHash(buffer.getLong(), buffer.getLong())
        }
    }
}
