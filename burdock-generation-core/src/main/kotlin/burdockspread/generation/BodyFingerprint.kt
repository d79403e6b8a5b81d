/** Fingerprint that shows whether two sends of a request have the same body. */
package burdockspread.generation

import com.google.common.hash.Hashing

/** SHA-256 of a request's body in hexadecimal digits. */
@JvmInline
public value class BodyFingerprint(public val value: String) {
    public companion object {
        /** Returns the fingerprint of [body]. */
        public fun of(body: String): BodyFingerprint =
            BodyFingerprint(Hashing.sha256().hashString(body, Charsets.UTF_8).toString())
    }
}
