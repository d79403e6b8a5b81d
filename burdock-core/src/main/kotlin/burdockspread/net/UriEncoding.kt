/**
 * Percent-encoding of text within URIs (RFC 3986).
 *
 * Names in the store may come from other writers, so each one that becomes a part of a URI is
 * encoded here.
 */
package burdockspread.net

import java.net.URLEncoder

/**
 * Encodes [text] as one segment of a path. A surrogate that stands for a byte becomes that byte,
 * see [decodeLossless]. Any other one without its pair, which UTF-8 cannot express, becomes a
 * question mark.
 */
public fun encodePathSegment(text: String): String =
    // Clients and servers resolve dots as steps within the hierarchy.
    if (text == "." || text == "..") text.replace(".", "%2E") else encodeQueryComponent(text)

/** Encodes [text] as a value of a query, with the same restriction as [encodePathSegment]. */
public fun encodeQueryComponent(text: String): String = buildString {
    text.codePoints().forEach { character ->
        if (character in RAW_BYTES) {
            append("%%%02X".format(character and BYTE))
        } else {
            append(encode(Character.toString(character)))
        }
    }
}

private fun encode(text: String) =
    // The encoder is for HTML forms: a plus sign stands for a space, and a tilde is encoded.
    URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20").replace("%7E", "~")

/** Characters that mean themselves everywhere in a URI (RFC 3986, 2.3), in ascending order. */
public const val UNRESERVED: String =
    "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~"

private const val BYTE = 0xFF
