/** One attempt as it is sent to an engine. */
package burdockspread.target.engine

import kotlinx.collections.immutable.ImmutableList

/** Which of the two published completion APIs a caller used. */
public enum class CompletionApi(
    /** Path of the API, the same for callers and engines. */
    public val path: String,
) {
    /** Plain completions with a `prompt`. */
    COMPLETIONS("/v1/completions"),

    /** Chat completions with `messages`. */
    CHAT("/v1/chat/completions"),
}

/**
 * One attempt at an engine.
 *
 * @property address IP:port of the engine.
 * @property body the caller's request.
 * @property prefix tokens that were accepted before; the engine goes on after them.
 * @property maxTokens tokens still to be generated.
 * @property priority lower numbers run first.
 */
public data class EngineCall(
    public val address: String,
    public val body: CompletionBody,
    public val prefix: ImmutableList<String>,
    public val maxTokens: Int,
    public val priority: Int,
)
