/** State and result after a section was offered to a host. */
package burdockspread.document

/** State and result after an offer. */
internal data class OfferOutcome(val snapshot: DocumentSnapshot, val result: OfferResult)
