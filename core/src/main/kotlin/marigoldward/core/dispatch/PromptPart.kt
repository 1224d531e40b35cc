package marigoldward.core.dispatch

/** One part of a prompt: prompts that begin with the same parts share their KV cache. */
public data class PromptPart(val id: String, val tokens: Int)
