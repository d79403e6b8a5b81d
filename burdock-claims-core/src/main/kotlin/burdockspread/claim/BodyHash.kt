/** Hash by which a repeated call is told from another call under the same key. */
package burdockspread.claim

import burdockspread.id.ServiceId
import com.google.common.hash.HashCode
import com.google.common.hash.Hashing

/**
 * SHA-256 of service, call and body.
 *
 * @property hex 64 lower-case hexadecimal digits.
 */
@JvmInline
public value class BodyHash(public val hex: String) {
    override fun toString(): String = hex

    internal fun toBytes(): ByteArray = HashCode.fromString(hex).asBytes()

    public companion object {
        /** Hashes a call. Each part goes in with its length, so parts cannot run together. */
        public fun of(service: ServiceId, call: String, body: ByteArray): BodyHash {
            val hasher = Hashing.sha256().newHasher()
            hasher.putPart(service.value.encodeToByteArray())
            hasher.putPart(call.encodeToByteArray())
            hasher.putPart(body)
            return BodyHash(hasher.hash().toString())
        }
    }
}
