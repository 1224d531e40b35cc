package marigoldward.bench.scenario

import com.github.h0tk3y.betterParse.combinators.and
import com.github.h0tk3y.betterParse.combinators.map
import com.github.h0tk3y.betterParse.combinators.or
import com.github.h0tk3y.betterParse.combinators.skip
import com.github.h0tk3y.betterParse.combinators.use
import com.github.h0tk3y.betterParse.combinators.zeroOrMore
import com.github.h0tk3y.betterParse.grammar.Grammar
import com.github.h0tk3y.betterParse.grammar.parseToEnd
import com.github.h0tk3y.betterParse.lexer.literalToken
import com.github.h0tk3y.betterParse.lexer.regexToken
import com.github.h0tk3y.betterParse.parser.ParseException
import com.github.h0tk3y.betterParse.parser.Parser

/** The grammar of one step: `verb word … key=value …`; words that contain spaces are quoted. */
internal object ScenarioGrammar : Grammar<ScenarioGrammar.ParsedStep>() {
    /** A step as it is parsed, without its line. */
    data class ParsedStep(val verb: String, val arguments: List<Argument>)

    /** An option, or a word if [key] is null. */
    data class Argument(val key: String?, val value: String)

    private val space by regexToken("""\s+""", ignore = true)
    private val equal by literalToken("=")
    private val quoted by regexToken(""""[^"]*"""")
    private val plain by regexToken("""[^\s="]+""")

    private val word: Parser<String> by (plain use { text }) or (quoted use { text.removeSurrounding("\"") })
    private val option: Parser<Argument> by (plain and skip(equal) and word) map
        { (key, value) -> Argument(key.text, value) }
    private val argument: Parser<Argument> by option or (word map { Argument(null, it) })

    override val rootParser: Parser<ParsedStep> by (word and zeroOrMore(argument)) map
        { (verb, arguments) -> ParsedStep(verb, arguments) }

    /**
     * Parses the steps of [text]; empty lines and lines that start with `#` are skipped.
     *
     * @throws ScenarioFailure if a line is not a step
     */
    fun parseSteps(text: String): List<ScenarioStep> = text.lines().mapIndexedNotNull { position, untrimmed ->
        val content = untrimmed.trim()
        if (content.isEmpty() || content.startsWith("#")) null else parseLine(position + 1, content)
    }

    private fun parseLine(line: Int, content: String): ScenarioStep {
        val step =
            try {
                parseToEnd(content)
            } catch (failure: ParseException) {
                throw ScenarioFailure(line, "\"$content\" is not a step: ${failure.message}")
            }
        val words = step.arguments.filter { it.key == null }.map { it.value }
        val options = step.arguments.mapNotNull { argument -> argument.key?.let { it to argument.value } }.toMap()
        return ScenarioStep(line, step.verb, words, options)
    }
}
