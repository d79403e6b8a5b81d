/** Exit codes of the programs, listed in `docs/ERRORS.md`. */
package burdockspread.settings

/** Reason for which a program exited. */
public enum class ExitCode(public val status: Int) {
    /** Success, or a requested stop. */
    OK(0),

    /** The command was rejected. */
    REFUSED(1),

    /** Invalid command-line arguments. */
    USAGE(2),

    /** The settings are missing or invalid. */
    SETTINGS_INVALID(3),

    /** A configured port could not be bound. */
    ADDRESS_IN_USE(4),

    /** The platform's object API does not respond. */
    STORE_UNAVAILABLE(5),

    /** A graceful shutdown reached its deadline with requests still in flight. */
    DRAIN_INCOMPLETE(6),
}
