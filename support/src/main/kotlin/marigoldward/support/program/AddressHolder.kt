package marigoldward.support.program

import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress

/** What keeps a process from listening at an address, as far as the system's tables of TCP sockets show it. */
public enum class AddressHolder {
    /** Another socket listens there. */
    LISTENING,

    /** A connection that is connected to itself. */
    SELF_CONNECTED,

    /** A connection whose local end is the address, but for [SELF_CONNECTED] and [TIME_WAIT]. */
    CONNECTED,

    /** A connection that was closed and that the system keeps for a while. */
    TIME_WAIT,

    /** The tables show no socket: the address is free by now, or a socket is bound to it and not connected. */
    NOT_SHOWN,

    /** The tables can't be read, as on systems without them. */
    UNKNOWN,
    ;

    /** Whether the tables show a socket that has the address. */
    internal val isSocket: Boolean
        get() = when (this) {
            LISTENING, SELF_CONNECTED, CONNECTED, TIME_WAIT -> true
            NOT_SHOWN, UNKNOWN -> false
        }

    /** Finds holders. */
    public companion object {
        private val TABLES = listOf("/proc/net/tcp", "/proc/net/tcp6")
        private const val MAX_LINES = 200_000
        private const val LOCAL_COLUMN = 1
        private const val REMOTE_COLUMN = 2
        private const val STATE_COLUMN = 3
        private const val STATE_TIME_WAIT = "06"
        private const val STATE_LISTENING = "0A"
        private const val HEX = 16
        private const val HEX_DIGITS_OF_BYTE = 2
        private const val BYTES_OF_WORD = 4
        private val SPACES = Regex("\\s+")

        /** Returns the holder of [address]: of several, the first in the order of the values. Never throws. */
        public fun of(address: InetSocketAddress): AddressHolder {
            val ip = address.address ?: return UNKNOWN
            return runCatching {
                val files = TABLES.map(::File).filter(File::canRead)
                if (files.isEmpty()) UNKNOWN else files.mapNotNull { holderInOrNull(it, ip, address.port) }.minOrNull()
            }.getOrDefault(UNKNOWN) ?: NOT_SHOWN
        }

        private fun holderInOrNull(table: File, ip: InetAddress, port: Int): AddressHolder? {
            val portSuffix = ":%04X".format(port)
            return table.useLines { lines ->
                lines
                    .take(MAX_LINES)
                    .filter { portSuffix in it }
                    .map { it.trim().split(SPACES) }
                    .filter { it.size > STATE_COLUMN && it[LOCAL_COLUMN].endsWith(portSuffix) }
                    .filter { overlaps(ip, parse(it[LOCAL_COLUMN].removeSuffix(portSuffix))) }
                    .map(::holder)
                    .minOrNull()
            }
        }

        private fun holder(columns: List<String>): AddressHolder = when {
            columns[STATE_COLUMN] == STATE_LISTENING -> LISTENING
            columns[STATE_COLUMN] == STATE_TIME_WAIT -> TIME_WAIT
            columns[LOCAL_COLUMN] == columns[REMOTE_COLUMN] -> SELF_CONNECTED
            else -> CONNECTED
        }

        private fun overlaps(one: InetAddress, other: InetAddress): Boolean =
            one == other || one.isAnyLocalAddress || other.isAnyLocalAddress

        /** Returns the address that is written as words of four bytes, each with its last byte first. */
        private fun parse(hex: String): InetAddress {
            val bytes = hex.chunked(HEX_DIGITS_OF_BYTE).map { it.toInt(HEX).toByte() }
            return InetAddress.getByAddress(bytes.chunked(BYTES_OF_WORD).flatMap { it.reversed() }.toByteArray())
        }
    }
}
