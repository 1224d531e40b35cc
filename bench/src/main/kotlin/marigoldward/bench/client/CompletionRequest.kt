package marigoldward.bench.client

/** A completion that [CallerClient] requests. */
public data class CompletionRequest(
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val className: String,
    val caller: String,
)
