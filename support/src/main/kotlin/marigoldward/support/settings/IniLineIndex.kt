package marigoldward.support.settings

/** The line numbers of the sections and keys of an INI file. */
internal class IniLineIndex private constructor(private val sections: List<IndexedSection>) {
    val sectionNames: List<String> get() = sections.map { it.name }

    fun lineOfSection(name: String): Int = sections.firstOrNull { it.name == name }?.line ?: 0

    fun keysOf(section: String): List<IndexedKey> = sections.firstOrNull { it.name == section }?.keys.orEmpty()

    data class IndexedKey(val key: String, val line: Int)

    data class IndexedSection(val name: String, val line: Int, val keys: List<IndexedKey>)

    companion object {
        fun fromText(file: String, text: String, problems: ProblemList): IniLineIndex {
            var sections = emptyList<IndexedSection>()
            text.lineSequence().forEachIndexed { position, raw ->
                val line = position + 1
                val content = raw.trim()
                when {
                    content.isEmpty() || content.startsWith("#") || content.startsWith(";") -> Unit
                    content.startsWith("[") ->
                        sections = sections + parseHeader(file, line, content, sections, problems)
                    else -> sections = withKey(file, line, content, sections, problems)
                }
            }
            return IniLineIndex(sections)
        }

        private fun parseHeader(
            file: String,
            line: Int,
            content: String,
            sections: List<IndexedSection>,
            problems: ProblemList,
        ): IndexedSection {
            if (!content.endsWith("]")) problems.add(file, line, "section header \"$content\" does not end with ']'")
            val name = content.removePrefix("[").removeSuffix("]").trim()
            val first = sections.firstOrNull { it.name == name }
            if (first != null) problems.add(file, line, "section \"$name\" is already defined at line ${first.line}")
            return IndexedSection(name, line, emptyList())
        }

        private fun withKey(
            file: String,
            line: Int,
            content: String,
            sections: List<IndexedSection>,
            problems: ProblemList,
        ): List<IndexedSection> {
            val key = content.substringBefore('=').trim()
            val section = sections.lastOrNull()
            when {
                '=' !in content -> problems.add(file, line, "\"$content\" is not of the form key = value")
                section == null -> problems.add(file, line, "key \"$key\" appears before the first section")
                section.keys.any { it.key == key } -> {
                    val first = section.keys.first { it.key == key }.line
                    problems.add(file, line, "key \"$key\" is already defined at line $first")
                }
            }
            if (section == null) return sections
            return sections.dropLast(1) + section.copy(keys = section.keys + IndexedKey(key, line))
        }
    }
}
