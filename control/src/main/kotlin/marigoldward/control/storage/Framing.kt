package marigoldward.control.storage

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** The size of a record's header, which holds the length and the checksum of the payload. */
internal const val HEADER_BYTES: Int = 8

/** The size of the largest payload. */
internal const val MAX_PAYLOAD_BYTES: Int = 134_217_728

/** Returns a record of [payload], after a header with its length and checksum. */
internal fun frame(payload: ByteArray): ByteBuffer {
    val buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size)
    buffer.putInt(payload.size).putInt(checksum(payload)).put(payload)
    return buffer.flip()
}

/** Returns the payload of the record at [offset] of [data], or null if there is no complete and valid record. */
internal fun unframeOrNull(data: ByteBuffer, offset: Int): ByteArray? {
    if (data.limit() - offset < HEADER_BYTES) return null
    val size = data.getInt(offset)
    val checksum = data.getInt(offset + Int.SIZE_BYTES)
    if (size !in 1..MAX_PAYLOAD_BYTES || size > data.limit() - offset - HEADER_BYTES) return null
    val payload = ByteArray(size)
    data.get(offset + HEADER_BYTES, payload)
    return payload.takeIf { checksum(it) == checksum }
}

private fun checksum(payload: ByteArray): Int {
    val crc = CRC32C()
    crc.update(payload)
    return crc.value.toInt()
}
