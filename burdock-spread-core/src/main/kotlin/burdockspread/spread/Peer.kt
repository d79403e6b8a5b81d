/** Hosts to exchange entries with. */
package burdockspread.spread

import burdockspread.id.FailureDomainId
import burdockspread.id.HostId

/** An entry host with its failure domain and region. */
public data class Peer(
    public val host: HostId,
    public val domain: FailureDomainId,
    public val region: String,
)
