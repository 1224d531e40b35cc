package marigoldward.support.duty

import marigoldward.support.log.EventLog
import java.io.FileDescriptor
import java.io.FileOutputStream

/** Halts the process after an unexpected exception or error, which may have left its state inconsistent. */
public object BrokenInvariant {
    /** The exit code of a process that halted itself. */
    public const val EXIT_CODE: Int = 70

    /** Is freed so that an exhausted heap has room for the log lines. */
    private const val RESERVE_BYTES = 524_288

    private val log = EventLog.fromName("invariant")
    private val output = FileOutputStream(FileDescriptor.out)
    private val lastLine = "event=process_halted exit_code=$EXIT_CODE\n".toByteArray()

    @Volatile
    private var reserve: ByteArray? = ByteArray(RESERVE_BYTES)

    /** Takes the memory that [haltProcess] needs when the heap is exhausted. To be called at the start of a process. */
    public fun prepare() {
        checkNotNull(reserve) { "the process halts" }
    }

    /**
     * Logs [failure], which occurred in the component [part], and halts the process without its shutdown hooks. The last
     * line is written without taking any memory.
     */
    public fun haltProcess(part: String, failure: Throwable): Nothing {
        reserve = null
        try {
            log.warn("invariant_broken") {
                field("part", part)
                field("error", failure.stackTraceToString())
            }
            EventLog.flush()
        } finally {
            runCatching { output.write(lastLine) }
            Runtime.getRuntime().halt(EXIT_CODE)
        }
        error("the process did not halt")
    }
}
