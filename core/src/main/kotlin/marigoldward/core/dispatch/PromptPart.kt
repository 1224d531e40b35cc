package marigoldward.core.dispatch

/** One part of a prompt. Prompts that begin with the same parts share the KV cache of these parts. */
public data class PromptPart(val id: String, val tokens: Int)
