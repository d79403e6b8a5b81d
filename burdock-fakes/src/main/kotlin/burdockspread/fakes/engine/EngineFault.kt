/** Faults that the engine stand-in can show. */
package burdockspread.fakes.engine

/** How running and new generations of an [EngineServer] behave. */
public enum class EngineFault {
    /** As they should. */
    NONE,

    /** No token comes, and the connection stays open. */
    FROZEN,

    /** Tokens come at a twentieth of the speed. */
    SLOW,

    /** Each chunk is sent twice. */
    RESEND,

    /** The stream ends after a few tokens without a finish reason. */
    SHORT,

    /** New requests get status 500. */
    ERROR,
}
