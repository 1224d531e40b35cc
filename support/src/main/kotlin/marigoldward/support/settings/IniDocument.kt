package marigoldward.support.settings

import marigoldward.core.Outcome
import marigoldward.core.config.SourceFile
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import java.io.StringReader

/**
 * A parsed INI file, with the line number of each section and key.
 *
 * A duplicate section or key is a problem, because the parser would merge the duplicates silently.
 */
public class IniDocument private constructor(
    /** The name of the file, for messages. */
    public val file: String,
    private val index: IniLineIndex,
    private val parsed: INIConfiguration,
    private val lastLine: IndexedLine,
) {
    private data class IndexedLine(val number: Int, val text: String)

    /** The section names in file order. */
    public val sectionNames: List<String> get() = index.sectionNames

    /** Returns the line of the section [name], or 0 if there is none. */
    public fun lineOfSection(name: String): Int = index.lineOfSection(name)

    /** Adds a problem for each section whose name is not in [allowed]. */
    public fun requireOnly(allowed: List<String>, problems: ProblemList) {
        sectionNames.filter { it !in allowed }.forEach { name ->
            val message = "section \"$name\" is not known; allowed: ${allowed.joinToString(", ")}"
            problems.add(file, lineOfSection(name), message)
        }
    }

    /** Adds a problem if the last line, blank ones apart, is not [END_LINE], so that the file may have been cut short. */
    public fun requireEndLine(problems: ProblemList) {
        if (lastLine.text == END_LINE) return
        problems.add(file, lastLine.number, "the file is not whole: its last line is not \"$END_LINE\"")
    }

    /** Returns a reader of the section [name]. A section that the file does not have is read as an empty one. */
    public fun section(name: String, problems: ProblemList): SectionReader =
        SectionReader.fromLayers(name, listOf(this), problems)

    internal fun valuesOf(section: String): List<IniValue> =
        index.keysOf(section).map { entry -> IniValue(file, entry.key, valueOf(section, entry.key), entry.line) }

    private fun valueOf(section: String, key: String): String =
        parsed.getSection(section).getString(key.replace(".", ".."), "").trim()

    /** Parses documents. */
    public companion object {
        /**
         * The last line of a settings file whose reader has to recognise that the file is still being written. It is a
         * comment: readers that don't know it ignore it.
         */
        public const val END_LINE: String = "# end of settings"

        /** Whether the last line of [source], blank ones apart, is [END_LINE]. */
        public fun hasEndLine(source: SourceFile): Boolean =
            source.text.trimEnd().substringAfterLast('\n').trim() == END_LINE

        /** Returns the document, or all problems of its structure. */
        public fun parse(source: SourceFile): Outcome<IniDocument, List<SettingsProblem>> {
            val problems = ProblemList.create()
            // A file that is being written, or was when the power was lost, may hold zeros. No value has any.
            if ('\u0000' in source.text) problems.add(source.name, 0, "contains bytes that are zero")
            val index = IniLineIndex.fromText(source.name, source.text, problems)
            if (problems.isNotEmpty()) return Outcome.Failure(problems.toList())
            val parsed = INIConfiguration()
            try {
                parsed.read(StringReader(source.text))
            } catch (failure: ConfigurationException) {
                val problem = SettingsProblem(source.name, 0, "is not an INI file: ${failure.message}")
                return Outcome.Failure(listOf(problem))
            }
            return Outcome.Success(IniDocument(source.name, index, parsed, lastLine(source.text)))
        }

        private fun lastLine(text: String): IndexedLine {
            val lines = text.trimEnd().lines()
            return IndexedLine(lines.size, lines.last().trim())
        }
    }
}
