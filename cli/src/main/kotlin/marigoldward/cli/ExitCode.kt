package marigoldward.cli

/** The result of a subcommand, as the exit code of the process. */
public enum class ExitCode(
    /** The exit code, which scripts check. */
    public val number: Int,
) {
    /** The operation succeeded, in this call or in an earlier one with the same operation id. */
    DONE(0),

    /** The operation was refused, or a concurrent change came first; nothing was changed. */
    REFUSED(1),

    /** The command line, the settings or the declarations are invalid. */
    USAGE(2),

    /** The operation may or may not take effect: retry with the same operation id. */
    UNKNOWN(3),

    /** No process that could answer was reached. */
    UNREACHABLE(4),
}
