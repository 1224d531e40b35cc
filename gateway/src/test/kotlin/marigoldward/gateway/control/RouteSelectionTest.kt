package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.core.Outcome
import marigoldward.core.flatMap
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.core.routes.RouteProblem
import marigoldward.support.bytes.Gzip

private val READER = RouteDocumentReader { content ->
    val version = content.decodeToString().toLongOrNull()
    val read: Outcome<Long, RouteProblem> =
        if (version == null) Outcome.Failure(RouteProblem.Unreadable("no version")) else Outcome.Success(version)
    read.flatMap { RouteConfiguration.check(it, emptyList(), emptyList(), CallerLimits.DEFAULT) }
}

private fun document(version: Long, content: String = "$version"): RouteDocument =
    RouteDocument(version, Gzip.compress(content.toByteArray()))

private val RouteSelection.Selection?.version: Long?
    get() = (this as? RouteSelection.Selection.Selected)?.configuration?.version

class RouteSelectionTest :
    DescribeSpec({
        describe("route selection") {
            describe("before the first configuration") {
                it("takes one from fresh state at once") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(1), isFresh = true, 10).version shouldBe 1
                }
                it("waits with one from outdated state until there is fresh state") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(1), isFresh = false, 10).shouldBeNull()
                    selection.considerWaitingOrNull(isFresh = false, 3_000).shouldBeNull()
                    selection.considerWaitingOrNull(isFresh = true, 3_000).version shouldBe 1
                    selection.considerWaitingOrNull(isFresh = true, 3_000).shouldBeNull()
                }
                // Guards against a first configuration that is older than one that the process has been sent.
                it("takes the newest of those from outdated state when the wait is over") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    listOf(3L, 5L, 4L).forEach { selection.considerOrNull(document(it), isFresh = false, 10) }
                    selection.considerWaitingOrNull(isFresh = false, 3_001).version shouldBe 5
                }
                it("takes none that is older than one that waits") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(5), isFresh = false, 10).shouldBeNull()
                    selection.considerOrNull(document(4), isFresh = true, 20).version shouldBe 5
                }
            }
            describe("with a configuration in force") {
                it("takes a newer one, whether or not it comes from fresh state") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(1), isFresh = true, 10).version shouldBe 1
                    selection.considerOrNull(document(2), isFresh = false, 20).version shouldBe 2
                }
                it("never takes an older one, nor the same again") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(2), isFresh = true, 10).version shouldBe 2
                    selection.considerOrNull(document(1), isFresh = true, 20).shouldBeNull()
                    selection.considerOrNull(document(2), isFresh = true, 20).shouldBeNull()
                }
            }
            describe("with a document that can't be read") {
                // Guards against a damaged document that throws, which lost the rest of the update that it came with.
                it("keeps the one in force if the document is damaged") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(1), isFresh = true, 10).version shouldBe 1
                    selection.considerOrNull(RouteDocument(2, byteArrayOf(1, 2, 3)), isFresh = true, 20)
                        .shouldBeInstanceOf<RouteSelection.Selection.Unreadable>()
                        .version shouldBe 2
                    selection.unreadableVersion shouldBe 2
                }
                // Guards against a small document that takes all the heap of each entry that it is sent to.
                it("doesn't decompress one that is longer than any that is stored") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    val content = ByteArray(RouteDocument.MAX_CONTENT_BYTES + 1)
                    selection.considerOrNull(RouteDocument(2, Gzip.compress(content)), isFresh = true, 20)
                        .shouldBeInstanceOf<RouteSelection.Selection.Unreadable>()
                        .problem shouldContain "longer than"
                }
                it("reads it again when it is sent again") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(2, "damaged"), isFresh = true, 10)
                        .shouldBeInstanceOf<RouteSelection.Selection.Unreadable>()
                    selection.considerOrNull(document(2), isFresh = true, 20).version shouldBe 2
                    selection.unreadableVersion.shouldBeNull()
                }
                // Guards against an entry that never gets ready though it was sent a configuration that it can read.
                it("takes an older one that waited, if there is none in force") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(5), isFresh = false, 10).shouldBeNull()
                    selection.considerOrNull(document(6, "damaged"), isFresh = true, 20)
                        .shouldBeInstanceOf<RouteSelection.Selection.Unreadable>()
                    selection.considerWaitingOrNull(isFresh = true, 20).version shouldBe 5
                    selection.considerWaitingOrNull(isFresh = true, 30).shouldBeNull()
                }
                it("takes an older one that comes later, if there is none in force") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(6, "damaged"), isFresh = false, 10).shouldBeNull()
                    selection.considerOrNull(document(5), isFresh = true, 20)
                        .shouldBeInstanceOf<RouteSelection.Selection.Unreadable>()
                    selection.considerWaitingOrNull(isFresh = true, 20).version shouldBe 5
                }
                it("shows the version until one as new is in force") {
                    val selection = RouteSelection(READER, startedMillis = 0)
                    selection.considerOrNull(document(3, "damaged"), isFresh = true, 10)
                    selection.considerOrNull(document(2), isFresh = true, 20).version shouldBe 2
                    selection.unreadableVersion shouldBe 3
                    selection.considerOrNull(document(4), isFresh = true, 30).version shouldBe 4
                    selection.unreadableVersion.shouldBeNull()
                }
            }
        }
    })
