package marigoldward.bench.capacity

import java.io.File

/**
 * The resources used by a process.
 *
 * @property cpuMillis the processor time in user and kernel mode since its start
 * @property peakKibibytes the peak of its resident memory
 * @property residentKibibytes its resident memory
 */
internal data class ProcessSample(val cpuMillis: Long, val peakKibibytes: Long, val residentKibibytes: Long) {
    companion object {
        private const val USER_TIME_FIELD = 13
        private const val SYSTEM_TIME_FIELD = 14
        private const val MILLIS_PER_CLOCK_TICK = 10L

        /** Reads the sample of the process [pid] from the proc file system. */
        fun of(pid: Long): ProcessSample {
            val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TIME_FIELD - 2].toLong() + fields[SYSTEM_TIME_FIELD - 2].toLong()
            val status = File("/proc/$pid/status").readLines()
            return ProcessSample(ticks * MILLIS_PER_CLOCK_TICK, kibibytes(status, "VmHWM"), kibibytes(status, "VmRSS"))
        }

        private fun kibibytes(status: List<String>, key: String): Long =
            status.first { it.startsWith("$key:") }.filter { it.isDigit() }.toLong()
    }
}
