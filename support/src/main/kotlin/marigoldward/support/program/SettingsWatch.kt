package marigoldward.support.program

import marigoldward.support.log.EventLog
import sun.misc.Signal
import java.io.File
import java.io.IOException

/**
 * Detects changes of a settings file. It reads the file at the signal `HUP` and whenever [check] is called.
 *
 * @param onChange called with the new text; never twice in a row with the same text
 */
public class SettingsWatch private constructor(private val file: File, private val onChange: (String) -> Unit) {
    private var lastText = textOrNull()

    /** Reads the file and passes its text to the callback if it has changed. */
    @Synchronized
    public fun check() {
        val text = textOrNull() ?: return
        if (text == lastText) return
        lastText = text
        log.info("settings_changed") { field("file", file) }
        onChange(text)
    }

    private fun textOrNull(): String? = try {
        file.readText()
    } catch (failure: IOException) {
        log.warn("settings_not_read") { field("reason", failure) }
        null
    }

    /** Starts watches. */
    public companion object {
        /** The period at which to call [check]; well below the time within which a change should be in force. */
        public const val PERIOD_MILLIS: Long = 2_000

        private val log = EventLog.fromName("settings")

        /** Starts to watch [file] and handles the signal `HUP`, which would otherwise end the process. */
        public fun start(file: File, onChange: (String) -> Unit): SettingsWatch {
            val watch = SettingsWatch(file, onChange)
            Signal.handle(Signal("HUP")) { watch.check() }
            return watch
        }
    }
}
