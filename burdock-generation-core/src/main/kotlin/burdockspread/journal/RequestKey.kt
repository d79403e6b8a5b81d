/** Key of a caller's request across all hosts. */
package burdockspread.journal

import burdockspread.id.OrganisationId
import burdockspread.id.RequestId

/** A request of an organisation. */
public data class RequestKey(
    public val organisation: OrganisationId,
    public val request: RequestId,
)
