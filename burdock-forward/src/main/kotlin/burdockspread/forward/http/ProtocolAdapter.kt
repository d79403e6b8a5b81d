/** Mapping between the forwarder's types and the HTTP protocol of a platform. */
package burdockspread.forward.http

import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.CallerFields
import burdockspread.forward.exchange.ExchangeEffect
import burdockspread.forward.exchange.Header
import burdockspread.forward.exchange.ResponseHead
import burdockspread.forward.load.TargetNotice

/** Translates header names and formats without making decisions. */
public interface ProtocolAdapter {
    /** Path that the balancer probes for readiness. */
    public val readyPath: String

    /** Path at which a target reports its load without executing anything. */
    public val probePath: String

    /** Lower-case names of headers that only the host sets; dropped from callers' requests. */
    public val reservedHeaders: Set<String>

    /** Parses a caller's headers. */
    public fun callerFields(host: String, path: String, headers: HeaderLookup): CallerFields

    /** Parses the head of a target's response; [forwarded] are the headers that callers receive. */
    public fun responseHead(
        status: Int,
        length: Long?,
        headers: HeaderLookup,
        forwarded: List<Header>,
    ): ResponseHead

    /** Parses what the response to a probe, with this status, asks of callers. */
    public fun notice(status: Int, headers: HeaderLookup): TargetNotice

    /** Returns the headers that instruct a target about an attempt. */
    public fun attemptHeaders(call: Call, send: ExchangeEffect.Send): List<Header>
}

/** Looks up a header's value by its case-insensitive name. */
public fun interface HeaderLookup {
    public operator fun get(name: String): String?
}
