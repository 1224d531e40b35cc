package marigoldward.support.settings

/** A `key = text` pair in a section of [file]; [line] counts from 1. */
public data class IniValue(val file: String, val key: String, val text: String, val line: Int)
