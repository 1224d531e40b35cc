package marigoldward.core.dispatch

/** An engine first copies from the KV cache of [source] whatever that keeps of a prompt and it does not keep itself. */
public data class CacheFetch(val source: ListedUpstream)
