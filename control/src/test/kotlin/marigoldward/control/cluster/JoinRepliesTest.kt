package marigoldward.control.cluster

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.model.InstanceId
import marigoldward.wire.peer.JoinReply

private val A = InstanceId.parse("a")
private val B = InstanceId.parse("b")
private val C = InstanceId.parse("c")

private fun reply(leader: InstanceId?, term: Long): JoinReply = JoinReply(true, leader, listOf(A, B, C), term)

class JoinRepliesTest :
    DescribeSpec({
        describe("the leader that the others have named") {
            // Guards against a redirect to an earlier leader, which an instance that was cut off still names.
            it("is the one of the newest term, whoever has replied last") {
                val replies = JoinReplies(InstanceId.parse("d"))
                replies.recordReply(A, reply(B, term = 5), 100)
                replies.recordReply(C, reply(A, term = 4), 200)
                replies.leaderOrNull(300) shouldBe B
            }
            it("is the last one named, if the senders don't tell the term") {
                val replies = JoinReplies(InstanceId.parse("d"))
                replies.recordReply(A, reply(B, term = 0), 100)
                replies.recordReply(C, reply(A, term = 0), 200)
                replies.leaderOrNull(300) shouldBe A
            }
            it("is unknown once no recent reply has named one") {
                val replies = JoinReplies(InstanceId.parse("d"))
                replies.recordReply(A, reply(B, term = 5), 100)
                replies.recordReply(A, reply(null, term = 5), 1_900)
                replies.leaderOrNull(2_100).shouldBeNull()
            }
            it("may be one of a lower term once the newer one was not named for long") {
                val replies = JoinReplies(InstanceId.parse("d"))
                replies.recordReply(A, reply(B, term = 5), 100)
                replies.recordReply(C, reply(A, term = 4), 2_200)
                replies.leaderOrNull(2_300) shouldBe A
            }
        }
    })
