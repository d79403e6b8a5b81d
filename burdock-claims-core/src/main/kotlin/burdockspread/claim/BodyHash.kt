/** Hash that distinguishes a repeated call from a different call under the same key. */
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
        /**
         * Hashes a call. Each part is prefixed with its length, so that adjacent parts cannot be
         * confused.
         */
        public fun of(service: ServiceId, call: String, body: ByteArray): BodyHash {
            val hasher = Hashing.sha256().newHasher()
            hasher.putLengthPrefixed(service.value.encodeToByteArray())
            hasher.putLengthPrefixed(call.encodeToByteArray())
            hasher.putLengthPrefixed(body)
            return BodyHash(hasher.hash().toString())
        }
    }
}
