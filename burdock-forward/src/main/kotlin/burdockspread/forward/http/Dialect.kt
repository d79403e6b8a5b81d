/** How callers and targets of a deployment spell what the product needs of their messages. */
package burdockspread.forward.http

import burdockspread.forward.exchange.AnswerHead
import burdockspread.forward.exchange.Call
import burdockspread.forward.exchange.CallerFields
import burdockspread.forward.exchange.ExchangeEffect
import burdockspread.forward.exchange.Header

/** Translates names and formats; decides nothing. */
public interface Dialect {
    /** Path at which the balancer asks whether the host takes connections. */
    public val readyPath: String

    /** Path at which a target tells its load without running anything. */
    public val probePath: String

    /** Names, in lower case, that the host sets itself: callers' headers so named are dropped. */
    public val reserved: Set<String>

    /** Reads a caller's headers. */
    public fun caller(host: String, path: String, headers: HeaderLookup): CallerFields

    /** Reads the head of a target's answer; [passed] are the headers that callers get. */
    public fun answer(
        status: Int,
        length: Long?,
        headers: HeaderLookup,
        passed: List<Header>,
    ): AnswerHead

    /** The headers that tell a target what to do with an attempt. */
    public fun attempt(call: Call, send: ExchangeEffect.Send): List<Header>
}

/** Finds a header's value by its name, in any case. */
public fun interface HeaderLookup {
    public operator fun get(name: String): String?
}
