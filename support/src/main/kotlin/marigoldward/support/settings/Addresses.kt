package marigoldward.support.settings

import java.net.InetSocketAddress

private const val MAX_PORT = 65_535
private val IPV4 = Regex("""(25[0-5]|2[0-4]\d|1?\d?\d)(\.(25[0-5]|2[0-4]\d|1?\d?\d)){3}""")

/** Returns the address written as `IP:PORT`, or null if [text] is not one. Host names are not looked up. */
public fun parseAddressOrNull(text: String): InetSocketAddress? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    if (!IPV4.matches(host) || port !in 0..MAX_PORT) return null
    return InetSocketAddress(host, port)
}

/** Returns the address as `IP:PORT`. */
public fun InetSocketAddress.toText(): String = "$hostString:$port"
