/** Deterministic text model: the next token is a function of all text before it. */
package burdockspread.fakes.engine

/**
 * Generates text deterministically: continuing from a prompt plus the first tokens of its output
 * gives the rest of the same output. Different [salt]s give different output, as sampling does.
 */
public class TextModel(private val salt: String = "") {
    /** Returns the token that follows [text]. */
    public fun next(text: CharSequence): String {
        val seed = (salt + text).hashCode()
        val mixed = (seed * MULTIPLIER) xor (seed ushr SHIFT)
        return " " + Integer.toUnsignedString(mixed, RADIX).take(TOKEN_CHARS)
    }

    /** Returns the first [count] tokens that follow [prompt]. */
    public fun predict(prompt: String, count: Int): List<String> {
        val text = StringBuilder(prompt)
        return List(count) { next(text).also(text::append) }
    }

    private companion object {
        const val MULTIPLIER = -0x61c88647
        const val SHIFT = 15
        const val RADIX = 36
        const val TOKEN_CHARS = 5
    }
}
