/** What interceptors have found out about a request. */
package burdockspread.request

import burdockspread.document.DocumentView
import burdockspread.document.Organisation

/**
 * Facts that interceptors add on the way.
 *
 * @property document the document that this request is served by, from start to end.
 * @property organisation whose request it is; null before authentication.
 */
public data class RequestContext(
    public val document: DocumentView,
    public val organisation: Organisation? = null,
) {
    /** The organisation, after authentication. */
    public fun requireOrganisation(): Organisation =
        checkNotNull(organisation) { "the request is not authenticated" }
}
