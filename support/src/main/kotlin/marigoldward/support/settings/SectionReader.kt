package marigoldward.support.settings

import java.net.InetSocketAddress

/**
 * Reads the typed values of one section.
 *
 * An invalid or missing value is added to the [ProblemList] and replaced by its default or a placeholder, so that all
 * problems are found in one pass.
 */
public class SectionReader private constructor(
    private val file: String,
    private val name: String,
    private val line: Int,
    private val values: List<IniValue>,
    private val problems: ProblemList,
) {
    private var requestedKeys = emptySet<String>()

    /** The keys in the order of the file. */
    public val keys: List<String> get() = values.map { it.key }

    /** Returns whether the section has [key]. */
    public fun has(key: String): Boolean = values.any { it.key == key }

    /** Returns the text of [key]; required if there is no [default]. */
    public fun text(key: String, default: String? = null): String =
        valueOrNull(key, default != null)?.text ?: default.orEmpty()

    /** Returns the text of [key], or null if it is absent. */
    public fun textOrNull(key: String): String? = valueOrNull(key, true)?.text

    /** Returns the integer value of [key], which must be in [allowed]; required if there is no [default]. */
    public fun integer(key: String, allowed: LongRange, default: Long? = null): Long {
        val fallback = default ?: allowed.first
        val value = valueOrNull(key, default != null) ?: return fallback
        val number = value.text.toLongOrNull()
        if (number == null || number !in allowed) {
            rejectValue(value, "a whole number from ${allowed.first} to ${allowed.last}")
            return fallback
        }
        return number
    }

    /** Returns the integer value of [key], which must be in [allowed], or null if the key is absent or has no text. */
    public fun integerOrNull(key: String, allowed: LongRange): Long? {
        val value = valueOrNull(key, true)?.takeIf { it.text.isNotEmpty() } ?: return null
        val number = value.text.toLongOrNull()?.takeIf { it in allowed }
        if (number == null) rejectValue(value, "a whole number from ${allowed.first} to ${allowed.last}")
        return number
    }

    /** Returns the value of [key], `true` or `false`; required if there is no [default]. */
    public fun boolean(key: String, default: Boolean? = null): Boolean =
        parsed(key, default, "true or false") { it.toBooleanStrictOrNull() } ?: default ?: false

    /** Returns the address that [key] gives as `IP:PORT`; required. */
    public fun address(key: String): InetSocketAddress =
        parsed(key, null, "an IP number and port, such as 127.0.0.1:8080", ::parseAddressOrNull)
            ?: InetSocketAddress.createUnresolved("invalid", 0)

    /** Returns the items of the comma-separated list of [key]; none if the key is absent or has no text. */
    public fun list(key: String): List<String> =
        valueOrNull(key, true)?.text.orEmpty().split(',').map { it.trim() }.filter { it.isNotEmpty() }

    /**
     * Returns the parsed items of the comma-separated list of [key]; required.
     *
     * An item for which [parse] returns null is left out and reported; [allowed] tells the operator what is valid.
     */
    public fun <T : Any> parsedList(key: String, allowed: String, parse: (String) -> T?): List<T> {
        val value = valueOrNull(key, false) ?: return emptyList()
        return list(key).mapNotNull { item ->
            parse(item).also { if (it == null) rejectValue(value.copy(text = item), allowed) }
        }
    }

    /**
     * Returns the parsed value of [key]; required if there is no [default].
     *
     * A value for which [parse] returns null is reported and replaced by [default]; [allowed] tells the operator what
     * is valid.
     */
    public fun <T : Any> parsed(key: String, default: T?, allowed: String, parse: (String) -> T?): T? {
        val value = valueOrNull(key, default != null) ?: return default
        return parse(value.text) ?: default.also { rejectValue(value, allowed) }
    }

    /** Reports [message] at the line of [key], or at the line of the section if it does not have the key. */
    public fun reject(key: String, message: String) {
        val value = values.firstOrNull { it.key == key }
        problems.add(value?.file ?: file, value?.line ?: line, message)
    }

    /** Reports each key that no earlier call has asked for as unknown. Call it after all keys have been read. */
    public fun rejectUnknownKeys() {
        values.filter { it.key !in requestedKeys }.forEach { value ->
            val allowed = requestedKeys.joinToString(", ")
            val message = "key \"${value.key}\" is not known in section \"$name\"; allowed: $allowed"
            problems.add(value.file, value.line, message)
        }
    }

    private fun valueOrNull(key: String, isOptional: Boolean): IniValue? {
        requestedKeys = requestedKeys + key
        val value = values.firstOrNull { it.key == key }
        if (value == null && !isOptional) problems.add(file, line, "section \"$name\" lacks the key \"$key\"")
        return value
    }

    private fun rejectValue(value: IniValue, allowed: String) {
        val message = "value \"${value.text}\" of key \"${value.key}\" is not allowed; use $allowed"
        problems.add(value.file, value.line, message)
    }

    internal companion object {
        /** Returns a reader of section [name] of all [documents]; a key replaces the same key of earlier documents. */
        fun fromLayers(name: String, documents: List<IniDocument>, problems: ProblemList): SectionReader {
            val lastWithSection = documents.lastOrNull { it.lineOfSection(name) > 0 } ?: documents.last()
            val merged = documents.flatMap { it.valuesOf(name) }.associateBy { it.key }
            return SectionReader(
                lastWithSection.file,
                name,
                lastWithSection.lineOfSection(name),
                merged.values.toList(),
                problems,
            )
        }
    }
}
