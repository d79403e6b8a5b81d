/** A fake of a non-idempotent service. */
package burdockspread.bench.claims

import burdockspread.claim.BodyHash
import burdockspread.claim.ClaimId
import burdockspread.claim.KeyHash
import com.google.protobuf.ByteString

/** Counts the calls that it receives by key and answers each with a unique response. */
internal class OrderDesk {
    private val calls = HashMap<KeyHash, MutableList<Call>>()

    private class Call(val claim: ClaimId, val bodyHash: BodyHash, val response: ByteString)

    fun book(key: KeyHash, claim: ClaimId, bodyHash: BodyHash): ByteString {
        val keyCalls = calls.getOrPut(key) { mutableListOf() }
        val response = ByteString.copyFromUtf8("booking ${keyCalls.size} of $claim")
        keyCalls += Call(claim, bodyHash, response)
        return response
    }

    fun count(key: KeyHash): Int = calls[key]?.size ?: 0

    fun count(key: KeyHash, bodyHash: BodyHash): Int =
        calls[key]?.count { it.bodyHash == bodyHash } ?: 0

    fun wasSentBy(claim: ClaimId): Boolean =
        calls.values.any { keyCalls -> keyCalls.any { it.claim == claim } }

    fun onlyResponse(key: KeyHash): ByteString? = calls[key]?.singleOrNull()?.response

    fun maxCalls(): Int = calls.values.maxOfOrNull { it.size } ?: 0
}
