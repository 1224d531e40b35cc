package marigoldward.support.program

import marigoldward.core.config.SourceFile
import marigoldward.support.log.EventLog
import java.io.File
import java.io.IOException

/**
 * Detects changes of a settings file. It reads the file at the signal `HUP` and whenever [check] is called.
 *
 * @param onChange called with the new content; never twice in a row with the same text
 */
public class SettingsWatch private constructor(initial: SourceFile, private val onChange: (SourceFile) -> Unit) {
    private val file = File(initial.name)
    private var lastText = initial.text

    /** Reads the file and passes its content to the callback if it has changed. */
    @Synchronized
    public fun check() {
        val text = textOrNull() ?: return
        if (text == lastText) return
        lastText = text
        log.info("settings_changed") { field("file", file) }
        onChange(SourceFile(file.path, text))
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

        /**
         * Starts to watch the file from which [initial] was read, and checks it at once and at each signal `HUP`. A
         * change since [initial] was read is detected too.
         */
        public fun start(initial: SourceFile, onChange: (SourceFile) -> Unit): SettingsWatch {
            val watch = SettingsWatch(initial, onChange)
            HangupSignal.subscribe(watch::check)
            watch.check()
            return watch
        }
    }
}
