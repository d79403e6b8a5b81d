/** A service whose calls may not be repeated, with a count of what reached it. */
package burdockspread.bench.claims

import burdockspread.claim.BodyHash
import burdockspread.claim.ClaimId
import burdockspread.claim.KeyHash
import com.google.protobuf.ByteString

/** Counts the calls that reach it by key and answers each with a text of its own. */
internal class OrderDesk {
    private val calls = HashMap<KeyHash, MutableList<Call>>()

    private class Call(val claim: ClaimId, val bodyHash: BodyHash, val answer: ByteString)

    fun book(key: KeyHash, claim: ClaimId, bodyHash: BodyHash): ByteString {
        val booked = calls.getOrPut(key) { mutableListOf() }
        val answer = ByteString.copyFromUtf8("booking ${booked.size} of $claim")
        booked += Call(claim, bodyHash, answer)
        return answer
    }

    fun count(key: KeyHash): Int = calls[key]?.size ?: 0

    fun count(key: KeyHash, bodyHash: BodyHash): Int =
        calls[key]?.count { it.bodyHash == bodyHash } ?: 0

    fun wasSentBy(claim: ClaimId): Boolean =
        calls.values.any { booked -> booked.any { it.claim == claim } }

    fun onlyAnswer(key: KeyHash): ByteString? = calls[key]?.singleOrNull()?.answer

    fun most(): Int = calls.values.maxOfOrNull { it.size } ?: 0
}
