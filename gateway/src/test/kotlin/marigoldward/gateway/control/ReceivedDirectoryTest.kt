package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.model.DataCentre
import marigoldward.core.model.PoolName
import marigoldward.core.model.UpstreamId
import marigoldward.support.directory.DirectoryReading
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.FeedUpdate
import marigoldward.wire.feed.SendingTime

private val HERE = DataCentre.parse("here")

private fun list(name: String): List<ListedUpstream> = listOf(
    ListedUpstream(UpstreamId.parse(name), PoolName.parse("service"), "127.0.0.1:1", HERE, 6, false, false, null),
)

private fun update(list: List<ListedUpstream>?, ageMillis: Long?, sentAt: SendingTime?) = FeedUpdate(
    routes = null,
    directory = list?.let(::DirectorySnapshot),
    directoryAgeMillis = ageMillis,
    maxStalenessMillis = 0,
    entryCount = 1,
    members = emptyList(),
    dataCentre = HERE,
    sentAt = sentAt,
)

class ReceivedDirectoryTest :
    DescribeSpec({
        describe("the list that a control instance sends") {
            it("is dated by the updates that were under way for the shortest time") {
                val directory = ReceivedDirectory()
                directory.receiveOrNull(update(list("a"), 100, SendingTime(1, 50_000)), 1_000) shouldBe
                    DirectoryReading(list("a"), 900)
                directory.receiveOrNull(update(list("b"), 100, SendingTime(1, 50_500)), 5_000) shouldBe
                    DirectoryReading(list("b"), 1_400)
                directory.receiveOrNull(update(null, 200, SendingTime(1, 54_500)), 5_490) shouldBe
                    DirectoryReading(list("b"), 5_290)
            }
            it("is dated as before if the instance is of an earlier version, which doesn't tell when it sent it") {
                val directory = ReceivedDirectory()
                directory.receiveOrNull(update(list("a"), 100, null), 1_000) shouldBe DirectoryReading(list("a"), 900)
                directory.receiveOrNull(update(null, 50, null), 1_500) shouldBe DirectoryReading(list("a"), 1_450)
            }
            it("is unknown if the instance has none, or refers to one that another instance has sent") {
                val directory = ReceivedDirectory()
                directory.receiveOrNull(update(null, null, SendingTime(1, 0)), 1_000).shouldBeNull()
                directory.receiveOrNull(update(null, 10, SendingTime(1, 0)), 1_000).shouldBeNull()
                directory.receiveOrNull(update(list("a"), 10, SendingTime(1, 500)), 1_500)
                directory.receiveOrNull(update(null, 10, SendingTime(2, 0)), 1_600).shouldBeNull()
                directory.receiveOrNull(update(null, 10, null), 1_700).shouldBeNull()
            }
        }
    })
