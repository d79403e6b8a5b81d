/** Roles of engines. */
package burdockspread.order

/** Role of an engine in generations. */
public enum class EngineRole {
    /** Prefills prompts and generates tokens. */
    MIXED,

    /** Only prefills prompts. */
    PREFILL,

    /** Only generates tokens. */
    DECODE,
}
