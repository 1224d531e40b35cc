package marigoldward.support.program

/**
 * Tells whether the content of a file has stayed the same for a while, so that it is probably not being written.
 *
 * Has no clock of its own and is not thread-safe.
 */
internal class SettledContent {
    private var lastText: String? = null
    private var sinceMillis = 0L

    /** Returns whether the file has held [text], which it holds at [nowMillis], for [SETTLED_MILLIS]. Null: no content. */
    fun isSettled(text: String?, nowMillis: Long): Boolean {
        if (text == null || text != lastText) {
            lastText = text
            sinceMillis = nowMillis
        }
        return text != null && nowMillis - sinceMillis >= SETTLED_MILLIS
    }

    companion object {
        /** Longer than the pauses of a process that writes a small file. */
        const val SETTLED_MILLIS: Long = 1_000
    }
}
