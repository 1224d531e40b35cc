package marigoldward.entry.caller

/** The two completion APIs of the OpenAI-compatible interface. */
internal enum class CompletionApi(val path: String) {
    CHAT("/v1/chat/completions"),
    TEXT("/v1/completions"),
    ;

    companion object {
        /** Returns the API at [path], or null if there is none. */
        fun fromPathOrNull(path: String): CompletionApi? = entries.firstOrNull { it.path == path }
    }
}
