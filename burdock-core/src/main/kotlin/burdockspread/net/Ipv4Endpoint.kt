/** Validation of addresses that other processes state. */
package burdockspread.net

private const val OCTETS = 4
private const val MAX_DIGITS = 5
private const val MAX_OCTET = 255
private val PORTS = 1..65_535

/** Returns whether [address] is an IPv4 address in decimal notation, a colon and a port. */
public fun isIpv4Endpoint(address: String): Boolean {
    val octets = address.substringBeforeLast(':', "").split('.')
    return octets.size == OCTETS &&
        octets.all { octet -> decimal(octet).let { it != null && it <= MAX_OCTET } } &&
        decimal(address.substringAfterLast(':')) in PORTS
}

private fun decimal(digits: String): Int? = digits.takeIf {
    it.length <= MAX_DIGITS && it.all { digit -> digit in '0'..'9' }
}?.toIntOrNull()

private operator fun IntRange.contains(value: Int?): Boolean = value != null && contains(value)
