/** A model whose next token is a function of all text before it. */
package burdockspread.fakes.engine

/**
 * Generates text such that going on from a prompt plus the first tokens of an answer gives the rest
 * of the same answer. A [salt] makes different engines give different answers, as sampling does.
 */
public class TextModel(private val salt: String = "") {
    /** The token that follows [text]. */
    public fun next(text: CharSequence): String {
        val seed = (salt + text).hashCode()
        val mixed = (seed * MULTIPLIER) xor (seed ushr SHIFT)
        return " " + Integer.toUnsignedString(mixed, RADIX).take(TOKEN_CHARS)
    }

    /** The first [count] tokens that follow [prompt]. */
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
