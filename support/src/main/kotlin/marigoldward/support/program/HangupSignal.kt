package marigoldward.support.program

import sun.misc.Signal
import sun.misc.SignalHandler
import java.util.concurrent.atomic.AtomicBoolean

/**
 * The signal `HUP`, by which operators tell a process that its settings file has changed.
 *
 * Without a handler the signal ends the process, so a program calls [install] before anything else. This class depends
 * on few others, so that the call comes early. A program without a subscriber ignores the signal.
 */
public object HangupSignal {
    private val isPending = AtomicBoolean()
    private var subscriber: Runnable? = null

    /** Handles the signal from now on. Signals that come before [subscribe] are passed on then, as one. */
    public fun install() {
        Signal.handle(Signal("HUP"), Handler)
    }

    /** Calls [subscriber], on one thread at a time, after each signal; once for signals that come before it is called. */
    public fun subscribe(subscriber: Runnable) {
        synchronized(this) { this.subscriber = subscriber }
        if (isPending.get()) passOn()
    }

    @Synchronized
    private fun passOn() {
        val current = subscriber ?: return
        if (isPending.getAndSet(false)) current.run()
    }

    private object Handler : SignalHandler {
        // Each signal is handled on a new thread; of those that wait for the subscriber, one is enough.
        override fun handle(signal: Signal) {
            if (!isPending.getAndSet(true)) passOn()
        }
    }
}
