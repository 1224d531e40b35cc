package marigoldward.support.duty

import marigoldward.support.log.EventLog

/** Halts the process after an unexpected exception, which may have left its state inconsistent. */
public object BrokenInvariant {
    /** The exit code of a process that halted itself. */
    public const val EXIT_CODE: Int = 70

    private val log = EventLog.fromName("invariant")

    /** Logs [failure], which occurred in the component [part], and halts the process without its shutdown hooks. */
    public fun haltProcess(part: String, failure: Throwable): Nothing {
        try {
            log.warn("invariant_broken") {
                field("part", part)
                field("error", failure.stackTraceToString())
            }
            EventLog.flush()
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE)
        }
        error("the process did not halt")
    }
}
