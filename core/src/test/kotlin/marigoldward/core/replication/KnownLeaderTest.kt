package marigoldward.core.replication

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.model.InstanceId

private val LEADER = ReplicaId(InstanceId.parse("control-1"), 1)
private val LEARNER = ReplicaId(InstanceId.parse("control-2"), 1)
private val MEMBERS = Members(setOf(LEADER), setOf(LEARNER))
private val TIMING = ReplicationTiming(heartbeatMillis = 50, electionTimeoutMillis = 300)
private val HEARTBEAT =
    ReplicaMessage.Append(
        term = 2,
        previousIndex = 0,
        previousTerm = 0,
        entries = emptyList(),
        commitIndex = 0,
        round = 1,
    )

/** Returns a learner to which the leader sent a heartbeat at 1,000 ms. */
private fun learner(): ReplicaState {
    val state =
        ReplicaState.fromDisk(
            self = LEARNER,
            timing = TIMING,
            hardState = HardState(2, null),
            log = ReplicaLog.fromEntries(SnapshotPoint(0, 0, MEMBERS), emptyList()),
            nowMillis = 0,
            seed = 1,
        )
    return Replica.step(state, ReplicaEvent.Received(LEADER, HEARTBEAT), 1_000).state
}

class KnownLeaderTest :
    DescribeSpec({
        describe("a replica that is no voter") {
            // A removed learner, which nobody tells that it was removed, named a leader of long ago for ever.
            it("forgets a leader that is silent for two election timeouts") {
                val learner = learner()
                learner.leaderOrNull shouldBe LEADER
                Replica.step(learner, ReplicaEvent.Tick, 1_299).state.leaderOrNull shouldBe LEADER
                Replica.step(learner, ReplicaEvent.Tick, 1_600).state.leaderOrNull.shouldBeNull()
            }
            it("knows it again after the next heartbeat") {
                val silent = Replica.step(learner(), ReplicaEvent.Tick, 1_600).state
                Replica.step(silent, ReplicaEvent.Received(LEADER, HEARTBEAT), 1_700).state.leaderOrNull shouldBe LEADER
            }
        }
    })
