package marigoldward.control.replica

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.control.storage.ReplicaStorage
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlState
import marigoldward.core.control.Fingerprint
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.HardState
import marigoldward.core.replication.LogEntry
import marigoldward.core.replication.Members
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.replication.ReplicationTiming
import marigoldward.core.replication.Snapshot
import marigoldward.core.replication.SnapshotPoint
import marigoldward.wire.control.StatusReply
import marigoldward.wire.control.SubmitReply
import java.io.IOException

private val SELF = ReplicaId(InstanceId.parse("control-1"), 1)

/** A storage in memory that can be full. */
private class InMemoryStorage : ReplicaStorage {
    override val replica: ReplicaId = SELF
    override var snapshot: Snapshot = Snapshot(SnapshotPoint(0, 0, Members(setOf(SELF))), ControlState.EMPTY)
    override val recovered = ReplicaStorage.Recovered(HardState.INITIAL, snapshot, emptyList(), 0)
    var isFull = false
    var syncCount = 0

    /** Whether a disk that is full removes nothing either. */
    var refusesRollBack = false

    /** The entries on disk. */
    var entries = emptyList<LogEntry>()

    override fun writeHardState(hardState: HardState) = checkSpace()

    override fun writeEntries(entries: List<LogEntry>) {
        this.entries = this.entries.filter { it.index < entries.first().index }
        checkSpace()
        this.entries += entries
    }

    override fun sync() {
        syncCount++
    }

    override fun rollBack() {
        if (refusesRollBack) checkSpace()
    }

    override fun rewriteEntries(entries: List<LogEntry>) {
        checkSpace()
        this.entries = entries
    }

    override fun writeSnapshot(newest: Snapshot, entries: List<LogEntry>) {
        snapshot = newest
    }

    override fun close() = Unit

    private fun checkSpace() {
        if (isFull) throw IOException("No space left on device")
    }
}

private object DiscardingOutputs : ReplicaDuty.Outputs {
    override fun send(to: ReplicaId, message: ReplicaMessage) = Unit

    override fun onStateChanged(state: ControlState, index: Long) = Unit
}

private class SingleReplica {
    val storage = InMemoryStorage()
    private val duty =
        ReplicaDuty(storage, ReplicationTiming(heartbeatMillis = 5, electionTimeoutMillis = 20), 1, DiscardingOutputs)

    /** Ticks until the replica has elected itself: at most two election timeouts, or five after it has resigned. */
    fun becomeLeader() {
        repeat(40) {
            Thread.sleep(10)
            duty.handle(listOf(ReplicaDutyEvent.Tick))
        }
    }

    fun submit(count: Int = 1): List<SubmitReply> {
        val replies = ArrayList<SubmitReply>()
        duty.handle(
            (1..count).map { number ->
                val command = ControlCommand.Quarantine(Fingerprint.parse(number.toString(16)), "test")
                ReplicaDutyEvent.Submit(command) { replies.add(it) }
            },
        )
        return replies
    }

    fun status(): StatusReply {
        var status: StatusReply? = null
        duty.handle(listOf(ReplicaDutyEvent.ReadStatus(false) { status = it }))
        return checkNotNull(status) { "the status request was not answered" }
    }
}

class ReplicaDutyTest :
    DescribeSpec({
        describe("a replica") {
            it("makes a whole batch durable with one sync before it answers") {
                val replica = SingleReplica()
                replica.becomeLeader()
                val syncCountBefore = replica.storage.syncCount
                replica.submit(50).size shouldBe 50
                replica.storage.syncCount shouldBe syncCountBefore + 1
            }
            it(
                "refuses writes and answers reads while its disk is full, and accepts writes again once there is space",
            ) {
                val replica = SingleReplica()
                replica.becomeLeader()
                replica.submit().single().shouldBeInstanceOf<SubmitReply.Committed>()
                replica.storage.isFull = true
                replica.submit().single().shouldBeInstanceOf<SubmitReply.Refused>()
                replica.status().isDiskWritable shouldBe false
                replica.status().quarantined.size shouldBe 1
                replica.storage.isFull = false
                replica.becomeLeader()
                replica.submit(2).last().shouldBeInstanceOf<SubmitReply.Committed>()
                replica.status().isDiskWritable shouldBe true
            }
            // The process ended by itself (exit code 70) when the disk refused to remove what was written in part.
            it("goes on while its disk refuses to roll back a failed write") {
                val replica = SingleReplica()
                replica.storage.refusesRollBack = true
                replica.becomeLeader()
                replica.submit().single().shouldBeInstanceOf<SubmitReply.Committed>()
                replica.storage.isFull = true
                replica.submit().single().shouldBeInstanceOf<SubmitReply.Refused>()
                replica.storage.isFull = false
                replica.becomeLeader()
                replica.submit(2).last().shouldBeInstanceOf<SubmitReply.Committed>()
            }
            // A failed write had removed the entries that it was to replace; later ones were written behind the gap.
            it("has a log without gaps on disk after a write that failed when it had removed entries") {
                val replica = SingleReplica()
                replica.becomeLeader()
                replica.submit(3)
                replica.storage.isFull = true
                replica.storage.entries = replica.storage.entries.dropLast(2)
                replica.submit().single().shouldBeInstanceOf<SubmitReply.Refused>()
                replica.storage.isFull = false
                replica.becomeLeader()
                replica.submit(2).last().shouldBeInstanceOf<SubmitReply.Committed>()
                val indexes = replica.storage.entries.map(LogEntry::index)
                indexes shouldBe (1L..indexes.size).toList()
            }
        }
    })
