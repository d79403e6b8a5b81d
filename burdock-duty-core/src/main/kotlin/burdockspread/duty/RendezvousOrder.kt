/** Rendezvous hashing, which orders the candidates of a duty. */
package burdockspread.duty

import burdockspread.id.HostId
import com.google.common.hash.Hashing

/** Returns the rank of [host] for [duty], starting at 0, or null if it may not hold the duty. */
internal fun rendezvousRank(duty: Duty, host: HostId, candidates: List<Candidate>): Int? {
    val eligible = candidates.filter { duty.domain == null || it.domain == duty.domain }
    val own = eligible.find { it.host == host } ?: return null
    val weight = rendezvousWeight(duty, own)
    return eligible.count { rendezvousWeight(duty, it) > weight }
}

private fun rendezvousWeight(duty: Duty, candidate: Candidate): Long = Hashing.murmur3_128()
    .newHasher()
    .putString(duty.name, Charsets.UTF_8)
    .putByte(0)
    .putString(candidate.host.value, Charsets.UTF_8)
    .hash()
    .asLong()
