package marigoldward.control.storage

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.getOrNull
import marigoldward.core.replication.EntryPayload
import marigoldward.core.replication.LogEntry
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private fun entries(range: LongRange): List<LogEntry> = range.map { LogEntry(it, 1, EntryPayload.Noop) }

private fun readEntries(path: Path): List<LogEntry> =
    EntryLog.open(path).getOrNull().shouldNotBeNull().also { it.log.close() }.entries

/** A log in a folder whose sync fails while [isBroken]. */
private class LogInBrokenFolder {
    var isBroken = false
    val path: Path = Files.createTempDirectory("entry-log").resolve("log")
    val log: EntryLog = EntryLog
        .open(path) { folder -> if (isBroken) throw IOException("input/output error") else syncFolder(folder) }
        .getOrNull()
        .shouldNotBeNull()
        .log
}

class EntryLogTest :
    DescribeSpec({
        describe("a log that can not be made durable when it is opened") {
            // Guards against an instance that runs out of descriptors while it waits for its disk.
            it("leaves no file open") {
                val disk = SimulatedDisk()
                repeat(3) {
                    shouldThrow<IOException> {
                        EntryLog.open(disk.folder.resolve("log")) { throw IOException("input/output error") }
                    }
                }
                disk.openChannels shouldBe 0
            }
        }
        describe("a log whose folder could not be synced when the log was rewritten") {
            // Guards against acknowledged entries that go to the file that was replaced.
            it("keeps what is synced later") {
                val folder = LogInBrokenFolder()
                folder.log.write(entries(1L..3L))
                folder.log.sync()
                folder.isBroken = true
                shouldThrow<IOException> { folder.log.rewrite(entries(3L..3L)) }
                folder.log.rollBack()
                folder.isBroken = false
                folder.log.write(entries(4L..4L))
                folder.log.sync()
                folder.log.close()
                readEntries(folder.path) shouldBe entries(3L..4L)
            }
            // Guards against entries that are acknowledged although a loss of power brings the replaced file back.
            it("does not take entries for durable before the folder is synced") {
                val folder = LogInBrokenFolder()
                folder.isBroken = true
                shouldThrow<IOException> { folder.log.rewrite(entries(3L..3L)) }
                folder.log.write(entries(4L..4L))
                shouldThrow<IOException> { folder.log.sync() }
                folder.log.rollBack()
                folder.log.close()
                readEntries(folder.path) shouldBe entries(3L..3L)
            }
        }
    })
