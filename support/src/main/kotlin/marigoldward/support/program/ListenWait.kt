package marigoldward.support.program

/** How long a process waits for an address that is in use. */
public sealed interface ListenWait {
    /** For [maxMillis]; after that the bind has failed. */
    public data class Bounded(val maxMillis: Long = ListenAddress.MAX_WAIT_MILLIS) : ListenWait

    /**
     * Until the address is free or the process is asked to terminate. For [ListenAddress.MAX_WAIT_MILLIS] only if the
     * IP address isn't one of the machine, or the process may not bind the address.
     */
    public data object UntilFree : ListenWait
}
