/** The order in which candidates take a duty. */
package burdockspread.duty

import com.google.common.hash.Hashing

/** The candidates that may hold [duty], in its rendezvous order. */
internal fun rendezvousOrder(duty: Duty, candidates: List<Candidate>): List<Candidate> = candidates
    .filter { duty.domain == null || it.domain == duty.domain }
    .sortedByDescending { rendezvousWeight(duty, it) }

private fun rendezvousWeight(duty: Duty, candidate: Candidate): Long = Hashing.murmur3_128()
    .newHasher()
    .putString(duty.name, Charsets.UTF_8)
    .putByte(0)
    .putString(candidate.host.value, Charsets.UTF_8)
    .hash()
    .asLong()
