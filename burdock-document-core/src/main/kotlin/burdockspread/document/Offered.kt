/** State and result after a section was brought to a host. */
package burdockspread.document

/** State and result after an offer. */
internal data class Offered(val snapshot: DocumentSnapshot, val result: OfferResult)
