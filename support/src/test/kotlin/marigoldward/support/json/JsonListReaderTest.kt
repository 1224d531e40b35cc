package marigoldward.support.json

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import marigoldward.core.getOrNull
import kotlin.random.Random

private val BOUNDS = JsonBounds(1_000_000, 8, 10_000, deepValues = JsonBounds.DeepValues.READ_AS_NULL)
private val READER = JsonListReader("list", "next", BOUNDS, BOUNDS)

private fun entry(id: String) = """{"id":"$id","models":[{"name":"m"},{"name":"n"},{"name":"o"}],"state":"ready"}"""

private val SOUND = listOf("a", "b", "c").map(::entry)

/** Entries that can't be read, each a byte for each character, by what is wrong with them. */
private val UNREADABLE = mapOf(
    "an escape that JSON doesn't have" to """{"id":"i-\x9f2b","state":"ready"}""",
    "half an escape" to """{"id":"i-\u12","state":"ready"}""",
    "a backslash before the end of a text" to """{"id":"i-9\","state":"ready"}""",
    "bytes that are not UTF-8" to "{\"id\":\"x\",\"note\":\"\u009f\u00ff\"}",
    "bytes that are not UTF-8 in a nested text" to "{\"id\":\"x\",\"models\":[{\"name\":\"\u009f\"}]}",
    "a control byte in a text" to "{\"id\":\"x\",\"note\":\"\u0001\"}",
    "half a surrogate pair" to """{"id":"x","note":"\ud800"}""",
    "a literal that JSON doesn't have" to """{"id":"x","note":v1}""",
    "a number that JSON doesn't have" to """{"id":"x","note":0x1f}""",
    "a field without a value" to """{"id":"x","note":}""",
    "a field without a name" to """{"id":"x",:1}""",
    "a text that doesn't end" to """{"id":"x,"note":"y"}""",
    "a quote within a text" to """{"id":"x"y","note":"y"}""",
    "no end" to """{"id":"x","note":"y"""",
    "no end within a text" to """{"id":"x","no""",
    "no end of its models" to """{"id":"x","models":[{"name":"m"},{"name":"n"""",
    "an end too many" to """{"id":"x"}}""",
    "another bracket at its end" to """{"id":"x"]""",
    "another bracket at the end of its models" to """{"id":"x","models":[{"name":"m"},{"name":"n"}}""",
    "bytes in its place" to "\u0000\u009f\u00ff",
    "nothing in its place" to "",
    "another value in its place" to "[7]",
)

private fun bytes(text: String): ByteArray = text.toByteArray(Charsets.ISO_8859_1)

private fun idOrNull(element: JsonElement): String? =
    ((element as? JsonObject)?.get("id") as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun read(text: String): JsonListReader.Page<String>? = READER.read(bytes(text), ::idOrNull).getOrNull()

private fun page(entries: List<String>): String = """{"list":[${entries.joinToString(",")}],"next":"p-2"}"""

class JsonListReaderTest :
    DescribeSpec({
        // Guards against an entry that can't be read and hides all others of its page.
        describe("an entry that can't be read") {
            UNREADABLE.forEach { (name, unreadable) ->
                (0..SOUND.size).forEach { position ->
                    it("is left out by itself: $name, at position $position") {
                        val entries = SOUND.take(position) + unreadable + SOUND.drop(position)
                        val page = read(page(entries)).shouldNotBeNull()
                        page.entries shouldBe listOf("a", "b", "c")
                        page.frame["next"] shouldBe JsonPrimitive("p-2")
                        // A place with nothing at the end of the list is no entry.
                        if (unreadable.isNotEmpty()) (page.unreadableEntries >= 1) shouldBe true
                    }
                }
            }
            it("is left out by itself beside others of any kind") {
                val random = Random(56)
                repeat(2_000) { round ->
                    val broken = List(random.nextInt(1, 5)) { UNREADABLE.values.random(random) }
                    val entries = (SOUND + broken).shuffled(random)
                    withClue("$round: $entries") {
                        read(page(entries)).shouldNotBeNull().entries.sorted() shouldBe listOf("a", "b", "c")
                    }
                }
            }
        }
        describe("a page") {
            it("may have fields before and after the list, and white space anywhere") {
                val list = """[ ${SOUND[0]} , ${SOUND[1]} ]"""
                val text = """ { "x" : [ {"list":[1]} , "]}" ] , "list" : $list , "y" : [ 2 ] } """
                val page = read(text).shouldNotBeNull()
                page.entries shouldBe listOf("a", "b")
                page.unreadableEntries shouldBe 0
                page.frame.keys shouldContainAll setOf("x", "list", "y")
            }
            it("may have an empty list") {
                read("""{"list":[]}""").shouldNotBeNull().entries shouldBe emptyList()
            }
            it("can't be read without a list that ends, or if something else of it can't be read") {
                listOf(
                    "", "{", "[]", "null", "{}", """{"list":7}""", """{"list":[""", """{"list":[${SOUND[0]}""",
                    """{"list":[${SOUND[0]}]""", """{"list":[${SOUND[0]}],"next":}""", """{"list":[${SOUND[0]}]}}""",
                    """{"list":[],"x":[${"0,".repeat(20_000)}0]}""", "{\"list\":[],\"x\":\"\u009f\"}",
                ).forEach { withClue(it) { read(it).shouldBeNull() } }
            }
            // Guards against a page on which each byte starts another look at all that follow.
            it("takes time in proportion to its length") {
                val startNanos = System.nanoTime()
                listOf("]", "{", ",{", "},{\"", "],\"", "[[]", "\"", "\\").forEach { piece ->
                    read("""{"list":[${piece.repeat(900_000 / piece.length)}],"next":null}""")
                }
                (System.nanoTime() - startNanos) / 1_000_000 shouldBeLessThan 10_000
            }
        }
    })
