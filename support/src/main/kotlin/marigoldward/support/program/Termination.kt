package marigoldward.support.program

/** Whether the process has been asked to terminate. */
public object Termination {
    @Volatile
    private var isRequested = false

    internal fun request() {
        isRequested = true
    }

    /**
     * Ends a start that waits without a limit for what it needs, and that has accepted nothing yet.
     *
     * @throws StartCancelled if the process has been asked to terminate
     */
    public fun checkNotRequested() {
        if (isRequested) throw StartCancelled()
    }

    /** The process was asked to terminate while its start waited. */
    public class StartCancelled internal constructor() : RuntimeException("asked to terminate during the start")
}
