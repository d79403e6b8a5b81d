/** Request state shared by the interceptors. */
package burdockspread.request

import burdockspread.document.DocumentView
import burdockspread.document.Organisation

/**
 * Data that interceptors attach to a request.
 *
 * @property document document snapshot that is used for the whole request.
 * @property organisation organisation that sent the request; null before authentication.
 */
public data class RequestContext(
    public val document: DocumentView,
    public val organisation: Organisation? = null,
) {
    /** Returns the organisation; fails before authentication. */
    public fun requireOrganisation(): Organisation =
        checkNotNull(organisation) { "the request is not authenticated" }
}
