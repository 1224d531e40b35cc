package marigoldward.support.program

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.config.SourceFile
import marigoldward.core.errorOrNull
import marigoldward.core.getOrNull
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import java.io.File
import java.nio.file.Files
import kotlin.concurrent.thread

private const val VALID = "[program]\nfirst = 1\nsecond = 2000\n# end of settings\n"

private fun read(document: IniDocument, problems: ProblemList): Long {
    document.requireEndLine(problems)
    return readUnmarked(document, problems)
}

private fun readUnmarked(document: IniDocument, problems: ProblemList): Long {
    val section = document.section("program", problems)
    return section.integer("first", 1L..9L) + section.integer("second", 1L..9_999L)
}

private fun newFile(): File = Files.createTempDirectory("settings").resolve("program.ini").toFile()

/** Returns the result of [action] and the milliseconds that it took. */
private fun <T> timed(action: () -> T): Pair<T, Long> {
    val startNanos = System.nanoTime()
    val result = action()
    return result to (System.nanoTime() - startNanos) / 1_000_000
}

class SettingsFileTest :
    DescribeSpec({
        // A process whose settings file was being written while it started ended with exit code 2.
        describe("a settings file that is not whole when a process starts") {
            it("is read once it is whole: missing, empty or cut at any byte before") {
                val parts = listOf<String?>(null) + VALID.trimEnd().indices.map(VALID::take)
                val files = parts.map { part -> newFile().apply { part?.let(::writeText) } }
                val writer = thread {
                    Thread.sleep(300)
                    files.forEach { it.writeText(VALID) }
                }
                val readers = files.map { file ->
                    var settings: Long? = null
                    thread { settings = SettingsFile.awaitValid(file, read = ::read).getOrNull()?.settings } to
                        { settings }
                }
                writer.join()
                readers.forEach { (reader, _) -> reader.join() }
                readers.map { (_, settings) -> settings() }.distinct() shouldBe listOf(2_001L)
            }
            it("is read once it is whole, if it is written slowly") {
                val file = newFile()
                val writer = thread {
                    VALID.indices.chunked(10).forEach { range ->
                        Thread.sleep(100)
                        file.writeText(VALID.take(range.last() + 1))
                    }
                }
                SettingsFile.awaitValid(file, read = ::read).getOrNull()?.settings shouldBe 2_001L
                writer.join()
            }
        }
        describe("a settings file that is whole when a process starts") {
            it("is read without a delay") {
                val file = newFile().apply { writeText(VALID) }
                SettingsFile.awaitValid(file, read = ::read)
                val (loaded, millis) = timed { SettingsFile.awaitValid(file, read = ::read) }
                loaded.getOrNull()?.settings shouldBe 2_001L
                millis shouldBeLessThan 50L
            }
        }
        // Guards against a process that refuses settings files which were written without the last line.
        describe("a valid settings file without the last line that marks it as whole") {
            val unmarked = VALID.substringBefore('#')
            it("is read once it has stayed the same for a second") {
                val file = newFile().apply { writeText(unmarked) }
                val (loaded, millis) = timed {
                    SettingsFile.awaitValid(file, readSettled = ::readUnmarked, read = ::read)
                }
                loaded.getOrNull()?.settings shouldBe 2_001L
                millis.shouldBeBetween(1_000L, 2_500L)
            }
            it("is not read while it is written") {
                val file = newFile().apply { writeText(unmarked.dropLast(2)) }
                val writer = thread {
                    Thread.sleep(500)
                    file.writeText(unmarked)
                }
                val loaded = SettingsFile.awaitValid(file, readSettled = ::readUnmarked, read = ::read)
                loaded.getOrNull()?.settings shouldBe 2_001L
                writer.join()
            }
            it("is passed on by a watch once it has stayed the same for a second") {
                val file = newFile().apply { writeText(VALID) }
                val texts = ArrayList<String>()
                val watch = SettingsWatch.start(SourceFile(file.path, VALID), IniDocument::hasEndLine) {
                    texts.add(it.text)
                }
                file.writeText(unmarked)
                watch.check()
                texts shouldHaveSize 0
                Thread.sleep(1_100)
                watch.check()
                watch.check()
                texts shouldBe listOf(unmarked)
            }
        }
        describe("a settings file that stays wrong") {
            it("is reported with all its problems after a bounded time") {
                val file = newFile().apply { writeText("[program]\nfirst = 0\n") }
                val (result, millis) = timed { SettingsFile.awaitValid(file, maxWaitMillis = 500, read = ::read) }
                result.errorOrNull().shouldNotBeNull().map { it.message.substringBefore(';') } shouldBe
                    listOf(
                        "the file is not whole: its last line is not \"# end of settings\"",
                        "value \"0\" of key \"first\" is not allowed",
                        "section \"program\" lacks the key \"second\"",
                    )
                millis.shouldBeBetween(500L, 1_500L)
            }
            it("is reported if it is missing or a folder") {
                val missing = newFile()
                val folder = newFile().apply { mkdir() }
                listOf(missing, folder).forEach { file ->
                    val result = SettingsFile.awaitValid(file, maxWaitMillis = 200, read = ::read)
                    result.errorOrNull().shouldNotBeNull() shouldHaveSize 1
                }
            }
        }
    })
