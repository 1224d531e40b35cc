package marigoldward.standin

import kotlinx.serialization.Serializable

/**
 * Counts the work that reached the emulated engines and services.
 *
 * Tests compare the answers and refusals that callers got with these counts.
 */
public class ObservedWork private constructor() {
    private var starts = emptyMap<String, Int>()
    private var upstreams = emptyMap<String, Int>()
    private var bookings = emptyMap<String, Int>()
    private var commands = emptyList<ObservedCommand>()
    private var conflicts = emptyList<ObservedCommand>()
    private var cancelled = 0L

    /**
     * A command that reached an engine.
     *
     * @property token the fencing token of the command; 0 for one that conflicted with a running command
     */
    @Serializable
    public data class ObservedCommand(val engine: String, val commandId: String, val token: Long)

    /** The number of times that the work with [id] was seen. */
    @Serializable
    public data class Count(val id: String, val count: Int)

    /**
     * Everything seen so far, the answer to `GET /observed`.
     *
     * @property starts how many times each request id reached any upstream
     * @property upstreams how many requests reached each upstream
     * @property bookings how many times each booking was made
     * @property commands the commands that engines executed, in order
     * @property conflicts the commands that reached an engine while it was executing another
     * @property cancelled how many streams were closed before their end
     */
    @Serializable
    public data class Report(
        val starts: List<Count>,
        val upstreams: List<Count>,
        val bookings: List<Count>,
        val commands: List<ObservedCommand>,
        val conflicts: List<ObservedCommand>,
        val cancelled: Long,
    )

    /** Records that the request [requestId] reached [upstream]. */
    @Synchronized
    public fun recordStart(requestId: String, upstream: String) {
        upstreams = upstreams + (upstream to (upstreams[upstream] ?: 0) + 1)
        starts = starts + (requestId to (starts[requestId] ?: 0) + 1)
    }

    /** Records that the booking [bookingId] was made. */
    @Synchronized
    public fun recordBooking(bookingId: String) {
        bookings = bookings + (bookingId to (bookings[bookingId] ?: 0) + 1)
    }

    /** Records that [engine] executed a command under the fencing token [token]. */
    @Synchronized
    public fun recordCommand(engine: String, commandId: String, token: Long) {
        commands = commands + ObservedCommand(engine, commandId, token)
    }

    /** Records a command that reached [engine] while it was executing another. */
    @Synchronized
    public fun recordConflict(engine: String, commandId: String) {
        conflicts = conflicts + ObservedCommand(engine, commandId, 0)
    }

    /** Records that a stream was closed before its end. */
    @Synchronized
    public fun recordCancellation() {
        cancelled++
    }

    /** Returns a copy of everything seen so far. */
    @Synchronized
    public fun report(): Report = Report(
        starts = starts.map { Count(it.key, it.value) },
        upstreams = upstreams.map { Count(it.key, it.value) },
        bookings = bookings.map { Count(it.key, it.value) },
        commands = commands,
        conflicts = conflicts,
        cancelled = cancelled,
    )

    /** Creates empty records. */
    public companion object {
        /** Returns a record without any work. */
        public fun create(): ObservedWork = ObservedWork()
    }
}
