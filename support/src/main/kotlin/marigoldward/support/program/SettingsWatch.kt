package marigoldward.support.program

import marigoldward.support.log.EventLog
import sun.misc.Signal
import java.io.File
import java.io.IOException

/**
 * Notices that a settings file has changed: at the signal `HUP`, and by reading it now and then.
 *
 * @param onChange called with the new text, never twice with the same
 */
public class SettingsWatch private constructor(private val file: File, private val onChange: (String) -> Unit) {
    private var known = textOrNull()

    /** Reads the file and reports a change. */
    @Synchronized
    public fun check() {
        val text = textOrNull() ?: return
        if (text == known) return
        known = text
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
        /** How often to call [check], in milliseconds: well within the time in which a change should be in force. */
        public const val PERIOD_MILLIS: Long = 2_000

        private val log = EventLog.fromName("settings")

        /** Watches [file]; the signal `HUP`, which would end the process, makes it read the file. */
        public fun start(file: File, onChange: (String) -> Unit): SettingsWatch {
            val watch = SettingsWatch(file, onChange)
            Signal.handle(Signal("HUP")) { watch.check() }
            return watch
        }
    }
}
