package marigoldward.support.program

import java.io.File
import java.io.IOException

/** The file descriptors of this process. */
public object ProcessDescriptors {
    private const val LIMITS_FILE = "/proc/self/limits"
    private const val LIMIT_NAME = "Max open files"

    /** What is assumed where the system does not tell; the usual default. */
    private const val ASSUMED_COUNT = 1_024L

    /** Returns how many descriptors the process may have open at once. */
    public fun maxCount(): Long = try {
        File(LIMITS_FILE).readLines().firstOrNull { it.startsWith(LIMIT_NAME) }?.let(::softLimitOrNull) ?: ASSUMED_COUNT
    } catch (_: IOException) {
        ASSUMED_COUNT
    }

    private fun softLimitOrNull(line: String): Long? {
        val value = line.removePrefix(LIMIT_NAME).trim().substringBefore(' ')
        return if (value == "unlimited") Long.MAX_VALUE else value.toLongOrNull()
    }
}
