/** Request for one attempt at an engine. */
package burdockspread.target.engine

import kotlinx.collections.immutable.ImmutableList

/** The two public completion APIs. */
public enum class CompletionApi(
    /** URL path of the API, the same for callers and engines. */
    public val path: String,
) {
    /** Plain completions with a `prompt`. */
    COMPLETIONS("/v1/completions"),

    /** Chat completions with `messages`. */
    CHAT("/v1/chat/completions"),
}

/**
 * Parameters of one attempt at an engine.
 *
 * @property address IP:port of the engine.
 * @property body the caller's request.
 * @property prefix tokens accepted from earlier attempts, after which the engine continues.
 * @property maxTokens maximum number of tokens still to be generated.
 * @property priority scheduling priority; lower numbers run first.
 */
public data class EngineCall(
    public val address: String,
    public val body: CompletionBody,
    public val prefix: ImmutableList<String>,
    public val maxTokens: Int,
    public val priority: Int,
)
