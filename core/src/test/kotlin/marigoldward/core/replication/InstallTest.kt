package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import marigoldward.core.control.ControlState
import marigoldward.core.model.InstanceId

private val FOLLOWER = ReplicaId(InstanceId.parse("control-1"), 1)
private val LEADER = ReplicaId(InstanceId.parse("control-2"), 1)
private val MEMBERS = Members(setOf(FOLLOWER, LEADER, ReplicaId(InstanceId.parse("control-3"), 1)))
private val TIMING = ReplicationTiming(heartbeatMillis = 50, electionTimeoutMillis = 300)

private fun entries(range: LongRange, term: Long): List<LogEntry> = range.map { LogEntry(it, term, EntryPayload.Noop) }

/** Returns a follower in term 2 with [log] after its snapshot at entry 0. */
private fun followerWith(log: List<LogEntry>): ReplicaState = ReplicaState.fromDisk(
    self = FOLLOWER,
    timing = TIMING,
    hardState = HardState(2, LEADER),
    log = ReplicaLog.fromEntries(SnapshotPoint(0, 0, MEMBERS), log),
    nowMillis = 0,
    seed = 1,
)

private fun install(index: Long, term: Long): ReplicaEvent {
    val snapshot = Snapshot(SnapshotPoint(index, term, MEMBERS), ControlState.EMPTY)
    return ReplicaEvent.Received(LEADER, ReplicaMessage.Install(2, snapshot, 1))
}

private fun reply(matchIndex: Long): ReplicaAction =
    ReplicaAction.Send(LEADER, ReplicaMessage.AppendReply(2, accepted = true, matchIndex, 1))

class InstallTest :
    DescribeSpec({
        describe("a follower that is sent a snapshot") {
            // Guards against the loss of entries that the follower acknowledged and its leader committed.
            it("keeps the entries after it, if its log holds the entry that the snapshot ends with") {
                val step = Replica.step(followerWith(entries(1L..10L, 2)), install(8, 2), 1)
                step.state.log.lastIndex shouldBe 10
                step.state.commitIndex shouldBe 8
                step.actions.filterIsInstance<ReplicaAction.PersistSnapshot>().shouldBeEmpty()
                step.actions shouldContain ReplicaAction.Commit(entries(1L..8L, 2))
                step.actions shouldContain reply(8)
            }
            it("replaces its log, if that differs from the snapshot") {
                val step = Replica.step(followerWith(entries(1L..10L, 1)), install(8, 2), 1)
                step.state.log.lastIndex shouldBe 8
                step.actions.filterIsInstance<ReplicaAction.PersistSnapshot>().single().snapshot.point.index shouldBe 8
                step.actions shouldContain reply(8)
            }
            it("replaces its log, if that ends before the snapshot") {
                val step = Replica.step(followerWith(entries(1L..5L, 2)), install(8, 2), 1)
                step.state.log.lastIndex shouldBe 8
                step.state.commitIndex shouldBe 8
            }
        }
    })
