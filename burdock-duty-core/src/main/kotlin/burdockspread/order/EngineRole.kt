/** Roles of engines. */
package burdockspread.order

/** What an engine does for generations. */
public enum class EngineRole {
    /** Reads prompts and generates tokens. */
    MIXED,

    /** Reads prompts only. */
    PREFILL,

    /** Generates tokens only. */
    DECODE,
}
