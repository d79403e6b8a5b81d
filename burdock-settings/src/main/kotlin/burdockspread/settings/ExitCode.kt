/** Exit codes of the programs. `docs/ERRORS.md` lists them. */
package burdockspread.settings

/** Why a program ended. */
public enum class ExitCode(
    /** The process's exit status. */
    public val status: Int,
) {
    /** Ended as asked. */
    OK(0),

    /** A command was refused. */
    REFUSED(1),

    /** Wrong use of the command line. */
    USAGE(2),

    /** The settings are missing or not valid. */
    SETTINGS_INVALID(3),

    /** A port of the settings cannot be opened. */
    ADDRESS_IN_USE(4),

    /** The platform's object API does not answer. */
    STORE_UNAVAILABLE(5),

    /** A graceful shutdown reached its deadline with requests still open. */
    DRAIN_INCOMPLETE(6),
}
