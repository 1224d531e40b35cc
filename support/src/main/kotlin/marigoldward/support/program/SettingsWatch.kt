package marigoldward.support.program

import marigoldward.core.config.SourceFile
import marigoldward.support.log.EventLog
import marigoldward.support.time.MonotonicClock
import java.io.File
import java.io.IOException

/**
 * Detects changes of a settings file. It reads the file at the signal `HUP` and whenever [check] is called.
 *
 * @param isWhole whether a content is certainly not a part of one that is being written; others are passed on once they
 *   have stayed the same for a second
 * @param onChange called with the new content; never twice in a row with the same text
 */
public class SettingsWatch private constructor(
    initial: SourceFile,
    private val isWhole: (SourceFile) -> Boolean,
    private val onChange: (SourceFile) -> Unit,
) {
    private val file = File(initial.name)
    private var lastText = initial.text
    private val settled = SettledContent()

    /** Reads the file and passes its content to the callback if it has changed. */
    @Synchronized
    public fun check() {
        val text = textOrNull() ?: return
        val isSettled = settled.isSettled(text, MonotonicClock.nowMillis())
        if (text == lastText) return
        val source = SourceFile(file.path, text)
        if (!isWhole(source) && !isSettled) return
        lastText = text
        log.info("settings_changed") { field("file", file) }
        onChange(source)
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
        public fun start(
            initial: SourceFile,
            isWhole: (SourceFile) -> Boolean = { true },
            onChange: (SourceFile) -> Unit,
        ): SettingsWatch {
            val watch = SettingsWatch(initial, isWhole, onChange)
            HangupSignal.subscribe(watch::check)
            watch.check()
            return watch
        }
    }
}
