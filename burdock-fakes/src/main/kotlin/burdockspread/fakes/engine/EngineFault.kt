/** Faults that can be injected into the fake engine. */
package burdockspread.fakes.engine

/** Behaviour of the running and new generations of an [EngineServer]. */
public enum class EngineFault {
    /** Normal operation. */
    NONE,

    /** No tokens are sent, and the connection stays open. */
    FROZEN,

    /** Tokens are sent at a twentieth of the normal rate. */
    SLOW,

    /** Each chunk is sent twice. */
    RESEND,

    /** The stream ends after a few tokens without a finish reason. */
    SHORT,

    /** New requests get status 500. */
    ERROR,
}
