package marigoldward.wire.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.Serializable
import marigoldward.wire.feed.DirectorySnapshot
import marigoldward.wire.feed.SendingTime
import marigoldward.wire.rpc.ProtobufMarshaller

/** The message as it was before it told when it was sent. */
@Serializable
private data class FormerUpdate(val edition: Long, val ageMillis: Long, val snapshot: DirectorySnapshot?)

private val CURRENT = ProtobufMarshaller(DirectoryUpdate.serializer())
private val FORMER = ProtobufMarshaller(FormerUpdate.serializer())
private val LIST = DirectorySnapshot(emptyList())

class DirectoryUpdateTest :
    DescribeSpec({
        describe("an update between processes of two versions, one of which tells when it was sent") {
            it("is read by the former version without the time") {
                val update = DirectoryUpdate(7, 250, LIST, SendingTime(3, 9_000))
                FORMER.parse(CURRENT.stream(update)) shouldBe FormerUpdate(7, 250, LIST)
            }
            it("is read by the current version as one without a time") {
                CURRENT.parse(FORMER.stream(FormerUpdate(7, 250, null))) shouldBe DirectoryUpdate(7, 250, null, null)
            }
        }
    })
