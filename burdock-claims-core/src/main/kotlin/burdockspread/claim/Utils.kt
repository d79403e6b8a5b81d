/** Utilities of the claims ledger. */
package burdockspread.claim

import com.google.common.hash.Hasher
import kotlin.time.Instant

internal fun Hasher.putLengthPrefixed(bytes: ByteArray): Hasher {
    putInt(bytes.size)
    return putBytes(bytes)
}

internal fun earliest(vararg times: Instant?): Instant? = times.filterNotNull().minOrNull()
