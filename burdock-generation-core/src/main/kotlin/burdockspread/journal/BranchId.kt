/** Id of one host's continuation of a generation. */
package burdockspread.journal

import burdockspread.id.HostId

/**
 * One host's continuation of a generation. Two continuations never have the same id.
 *
 * @property epoch increases with each takeover; 1 for the host that started the generation.
 * @property host the host that runs this continuation.
 * @property nonce random, so that a host that takes over twice in one epoch uses two ids.
 */
public data class BranchId(
    public val epoch: Long,
    public val host: HostId,
    public val nonce: Long,
) : Comparable<BranchId> {
    override fun compareTo(other: BranchId): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER = compareBy<BranchId>({ it.epoch }, { it.nonce }, { it.host.value })
    }
}
